import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as store from '../store/index.js';
import * as intervals from './intervals.js';
import type * as messages from './KnowledgeMessage.js';

/** A successful read of the operators' rows. */
export type OperatorRowsRead = Extract<
  store.OperatorReadResult,
  {kind: 'snapshot' | 'changes'}
>;

/** The operators' rows that a process holds, whoever read them, and how it reads the next ones. */
export class OperatorRowsState {
  private readonly bounds: intervals.KnowledgeBounds;
  private rows: entry.OperatorRows | undefined;
  private currentAtMs = -Infinity;

  /** Monotonic time in milliseconds at which the position of the rows became known. */
  private knownAtMs = -Infinity;

  /** Until when a store that has returned from an older copy may lack rows that operators write again. */
  private completeFromMs: number | undefined;
  private readMode: decisions.TableReadMode = {
    kind: 'snapshot',
    cause: 'changesMissed',
  };

  /** The mode of the read in progress, whose changes are used only while it is still the read mode. */
  private pendingMode: decisions.TableReadMode = this.readMode;

  /** @param bounds How soon changed rows must take effect. */
  constructor(bounds: intervals.KnowledgeBounds) {
    this.bounds = bounds;
  }

  /** Gets the rows; undefined before the first read. */
  getRows(): entry.OperatorRows | undefined {
    return this.rows;
  }

  /** Gets the monotonic time in milliseconds at which the rows are known to have been current. */
  getCurrentAtMs(): number {
    return this.currentAtMs;
  }

  /** Returns the milliseconds since the rows were last current; 0 before the first read. */
  getAgeMs(nowMs: number): number {
    return this.currentAtMs === -Infinity ? 0 : nowMs - this.currentAtMs;
  }

  /** Gets how the next changes are read from the store. */
  getReadMode(): decisions.TableReadMode {
    return this.readMode;
  }

  /** Gets the message that reads the next changes from the store, for a call at `sentAtMs` (monotonic milliseconds). */
  getReadMessage(
    sentAtMs: number,
    reply: kernel.Reply<store.OperatorReadResult>,
  ): store.StoreMessage {
    // The changes since the return do not tell which rows nobody has written again.
    if (this.completeFromMs !== undefined && sentAtMs >= this.completeFromMs)
      this.requireSnapshot('storeReturned');
    this.pendingMode = this.readMode;
    switch (this.readMode.kind) {
      case 'snapshot':
        return {kind: 'readOperatorRows', reply};
      case 'changes':
        return {
          kind: 'awaitOperatorRows',
          after: this.readMode.after,
          waitMs: intervals.getFollowWaitMs(this.bounds),
          deadlineMs: sentAtMs + intervals.getFollowTimeoutMs(this.bounds),
          reply,
        };
    }
  }

  /** Lets the next read return all rows. */
  requireSnapshot(cause: decisions.SnapshotCause): void {
    this.readMode = {kind: 'snapshot', cause};
  }

  /** Gets the message for subscribers; undefined before the first read. */
  getMessage(): messages.OperatorRowsChanged | undefined {
    if (this.rows === undefined) return undefined;
    // A version that this process has not read yet was confirmed to the operator after `currentAtMs`, so it need not be
    // in force earlier than `maxConfigurationDelayMs` after that time.
    const freshUntilMs = this.currentAtMs + this.bounds.maxConfigurationDelayMs;
    return {kind: 'operatorRowsChanged', rows: this.rows, freshUntilMs};
  }

  /** Counts the rows as older, after a time in which the monotonic clock stood still. */
  addAge(ms: number): void {
    this.currentAtMs -= ms;
  }

  /**
   * Applies the result of a read of the store. Returns what has become of it; undefined when it brought nothing.
   *
   * @param sentAtMs The monotonic time in milliseconds at which the read was sent.
   */
  applyRead(
    read: OperatorRowsRead,
    changes: readonly decisions.OperatorRowChange[],
    sentAtMs: number,
    nowMs: number,
  ): decisions.ReadDecision | undefined {
    switch (read.kind) {
      case 'snapshot':
        return this.applySnapshot(read.position, changes, sentAtMs, nowMs);
      case 'changes':
        return this.applyChanges(read, changes, sentAtMs, nowMs);
      default:
        return errors.throwUnreachable(read);
    }
  }

  /** Applies a peer's rows if they are newer. */
  applyPeerRows(rows: entry.OperatorRows, nowMs: number): void {
    this.merge(rows, nowMs);
  }

  /** Applies the rows that a reader announced, unless they contradict those in force. */
  applyReaderRows(
    claim: decisions.RowsClaim<entry.OperatorRows>,
    nowMs: number,
  ): decisions.RowsDecision {
    const {rows, currentAtMs} = this;
    const decision = decisions.decideOperatorsClaim({rows, currentAtMs}, claim);
    switch (decision.kind) {
      case 'adopt':
        this.setCurrentAt(claim.currentAtMs);
        this.merge(claim.rows, nowMs);
        return decision;
      case 'renew':
        this.setCurrentAt(decision.currentAtMs);
        return decision;
      case 'ignore':
      case 'refuse':
        return decision;
    }
  }

  private applySnapshot(
    position: entry.StorePosition,
    changes: readonly decisions.OperatorRowChange[],
    sentAtMs: number,
    nowMs: number,
  ): decisions.ReadDecision {
    const decision = decisions.decideRead(this.getHeld(), position, sentAtMs);
    switch (decision.kind) {
      case 'replace':
        this.completeFromMs = nowMs + decisions.RENEWAL_GRACE_MS;
        break;
      case 'advance':
        if (
          this.completeFromMs !== undefined &&
          sentAtMs >= this.completeFromMs
        )
          this.completeFromMs = undefined;
        break;
      case 'overtaken':
        break;
      default:
        errors.throwUnreachable(decision);
    }
    this.setCurrentAt(Math.min(sentAtMs, nowMs));
    if (decision.kind === 'overtaken') {
      this.requireSnapshot('changesMissed');
      return decision;
    }
    this.setRows(
      decisions.applyOperatorChanges(this.rows, position, changes, {
        kind: this.completeFromMs === undefined ? 'all' : 'incomplete',
      }),
      nowMs,
    );
    if (this.rows !== undefined)
      this.readMode = {kind: 'changes', after: position};
    return decision;
  }

  private applyChanges(
    {
      position,
      changes: readChanges,
    }: Extract<OperatorRowsRead, {kind: 'changes'}>,
    changes: readonly decisions.OperatorRowChange[],
    sentAtMs: number,
    nowMs: number,
  ): decisions.ReadDecision | undefined {
    const {pendingMode} = this;
    const isFollowing =
      pendingMode === this.readMode &&
      pendingMode.kind === 'changes' &&
      decisions.compareTimelines(
        position.timeline,
        pendingMode.after.timeline,
      ) === 'equal';
    // The changes are those after a position that this process no longer reads on from, or that was given out again.
    if (!isFollowing) {
      this.requireSnapshot('storeReturned');
      return undefined;
    }
    const isUnchanged = readChanges.length === 0;
    const isOvertaken =
      !isUnchanged &&
      this.rows !== undefined &&
      decisions.comparePositions(position, this.rows.position) === 'older';
    if (isOvertaken) {
      this.requireSnapshot('storeReturned');
      return {kind: 'overtaken'};
    }
    // The store sends an answer without changes only at the end of the wait: the rows were unchanged until then.
    const waitMs = isUnchanged ? intervals.getFollowWaitMs(this.bounds) : 0;
    this.setCurrentAt(Math.min(sentAtMs + waitMs, nowMs));
    // An answer without changes may have missed one; the next call repeats the position and returns the change.
    if (isUnchanged) return undefined;
    this.readMode = {kind: 'changes', after: position};
    if (changes.length > 0)
      this.setRows(
        decisions.applyOperatorChanges(this.rows, position, changes, {
          kind: 'changes',
        }),
        nowMs,
      );
    return {kind: 'advance'};
  }

  /** Merges rows that another VM passed on. */
  private merge(rows: entry.OperatorRows, nowMs: number): void {
    const isOtherTimeline =
      this.rows !== undefined &&
      decisions.compareTimelines(
        rows.position.timeline,
        this.rows.position.timeline,
      ) === 'newer';
    if (isOtherTimeline) {
      this.completeFromMs = nowMs + decisions.RENEWAL_GRACE_MS;
      this.requireSnapshot('storeReturned');
    }
    this.setRows(decisions.mergeOperatorRows(this.rows, rows), nowMs);
  }

  private setRows(rows: entry.OperatorRows | undefined, nowMs: number): void {
    if (!decisions.isSamePosition(rows?.position, this.rows?.position))
      this.knownAtMs = nowMs;
    this.rows = rows;
  }

  private getHeld(): decisions.HeldPosition | undefined {
    if (this.rows === undefined) return undefined;
    return {position: this.rows.position, knownAtMs: this.knownAtMs};
  }

  private setCurrentAt(currentAtMs: number): void {
    this.currentAtMs = Math.max(this.currentAtMs, currentAtMs);
  }
}
