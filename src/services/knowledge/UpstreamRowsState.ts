import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as store from '../store/index.js';
import * as intervals from './intervals.js';
import type * as messages from './KnowledgeMessage.js';

/** The upstreams' rows that a process holds, whoever read them, and how it judges the store's outages. */
export class UpstreamRowsState {
  private readonly bounds: intervals.KnowledgeBounds;
  private discovery = decisions.INITIAL_DISCOVERY;
  private position: entry.StorePosition | undefined;

  /** Monotonic time in milliseconds at which the position became known. */
  private knownAtMs = -Infinity;
  private currentAtMs = -Infinity;

  /** Like `currentAtMs`, but the time of arrival for rows of a peer, whose age is unknown. */
  private readAtMs = -Infinity;
  private positionSinceMs = -Infinity;
  private source: messages.RowSource = 'store';
  private reachability = decisions.INITIAL_STORE_REACHABILITY;
  private outageEndedAtMs: number | undefined;

  /** @param bounds How soon changed rows must take effect. */
  constructor(bounds: intervals.KnowledgeBounds) {
    this.bounds = bounds;
  }

  /** Gets the position of the store up to which rows are known; undefined before the first read. */
  getPosition(): entry.StorePosition | undefined {
    return this.position;
  }

  /** Gets the monotonic time in milliseconds at which the rows were read, or arrived from a peer. */
  getReadAtMs(): number {
    return this.readAtMs;
  }

  /** Gets the monotonic time in milliseconds at which the rows are known to have been current. */
  getCurrentAtMs(): number {
    return this.currentAtMs;
  }

  /** Gets the rows as sent to peers; undefined before the first read. */
  getRows(): entry.UpstreamRows | undefined {
    if (this.position === undefined) return undefined;
    return {
      position: this.position,
      upstreams: [...this.discovery.upstreams.values()],
      expiredIds: [...this.discovery.expiredIds],
    };
  }

  /** Gets the message for subscribers; undefined before the first read. */
  getMessage(): messages.UpstreamRowsChanged | undefined {
    if (this.position === undefined) return undefined;
    return {
      kind: 'upstreamRowsChanged',
      position: this.position,
      upstreams: [...this.discovery.upstreams.values()],
      readAtMs: this.readAtMs,
      source: this.source,
    };
  }

  /** Whether rows are due that this process has not been able to read for `lateMs` milliseconds. */
  isStale(lateMs: number, nowMs: number): boolean {
    const dueAtMs =
      this.readAtMs + intervals.getUpstreamPollIntervalMs(this.bounds);
    return this.reachability.kind === 'unreachable' || nowMs > dueAtMs + lateMs;
  }

  /** Whether the last read of the upstreams' rows failed, and the store has answered no other call since. */
  isStoreUnreachable(): boolean {
    return this.reachability.kind === 'unreachable';
  }

  /** Records that the store has answered any call. */
  recordStoreAnswer(nowMs: number): void {
    this.reachability = decisions.applyStoreAnswer(this.reachability, nowMs);
  }

  /** Records that a read of the upstreams' rows failed. */
  recordReadFailure(sentAtMs: number): void {
    this.reachability = decisions.applyReadFailure(this.reachability, sentAtMs);
  }

  /** Counts the rows as older, after a time in which the monotonic clock stood still. */
  addAge(ms: number): void {
    this.currentAtMs -= ms;
    this.readAtMs -= ms;
    this.positionSinceMs -= ms;
  }

  /** Applies all rows as read from the store. Returns what has become of them. */
  applySnapshot(
    snapshot: Extract<store.UpstreamReadResult, {kind: 'snapshot'}>,
    readAtMs: number,
    nowMs: number,
  ): decisions.ReadDecision {
    const {upstreams, unreadableRows, position} = snapshot;
    const held =
      this.position === undefined
        ? undefined
        : {position: this.position, knownAtMs: this.knownAtMs};
    const decision = decisions.decideRead(held, position, readAtMs);
    if (decision.kind === 'overtaken') return decision;
    const outageEndMs = decisions.getOutageEndMs(
      this.reachability,
      readAtMs,
      this.bounds.heartbeatIntervalMs,
      nowMs,
    );
    // Rows that were written after the copy are missing like rows that expired during an outage.
    const isReturn = decision.kind === 'replace';
    const isFirstAfterOutage = outageEndMs !== undefined || isReturn;
    if (isReturn) this.beginGrace(readAtMs, nowMs);
    else if (outageEndMs !== undefined) this.outageEndedAtMs = outageEndMs;
    this.reachability = decisions.applyReadSuccess(readAtMs);
    this.setRead(position, readAtMs, nowMs, 'store');
    this.discovery = decisions.mergeUpstreams(
      this.discovery,
      {
        records: upstreams,
        unreadableIds: unreadableRows.map(({key}) => key),
        isFirstAfterOutage,
        outageEndedAtMs: this.outageEndedAtMs,
      },
      nowMs,
    );
    return decision;
  }

  /** Applies a peer's rows. Returns whether they are newer and in force. */
  applyPeerRows(rows: entry.UpstreamRows, nowMs: number): boolean {
    if (!this.isNewer(rows.position)) return false;
    const completed = this.completeRows(rows, nowMs);
    this.setRead(rows.position, this.currentAtMs, nowMs, 'peer');
    this.readAtMs = nowMs;
    this.discovery = decisions.mergePeerUpstreams(
      this.discovery,
      completed,
      nowMs,
    );
    return true;
  }

  /** Applies the rows that a reader announced, unless they contradict those in force. */
  applyReaderRows(
    claim: decisions.RowsClaim<entry.UpstreamRows>,
    nowMs: number,
  ): decisions.RowsDecision {
    const {position, currentAtMs, positionSinceMs} = this;
    const decision = decisions.decideUpstreamsClaim(
      {position, currentAtMs, positionSinceMs},
      claim,
      this.bounds.heartbeatIntervalMs,
    );
    switch (decision.kind) {
      case 'adopt':
        this.adopt(claim, nowMs);
        return decision;
      case 'renew':
        this.currentAtMs = decision.currentAtMs;
        this.readAtMs = decision.currentAtMs;
        return decision;
      case 'ignore':
      case 'refuse':
        return decision;
    }
  }

  /**
   * Returns the monotonic time in milliseconds of the next read. The interval is counted from the time at which the last
   * read was sent, so that slow reads are not further apart. After an outage of the store, the next read starts no
   * later than the end of the period in which upstreams may write their expired rows again.
   */
  getNextPollAtMs(sentAtMs: number, nowMs: number): number {
    const pollAtMs =
      sentAtMs + intervals.getUpstreamPollIntervalMs(this.bounds);
    if (this.outageEndedAtMs === undefined) return pollAtMs;
    const returnDeadlineMs = this.outageEndedAtMs + decisions.RENEWAL_GRACE_MS;
    return returnDeadlineMs > nowMs
      ? Math.min(pollAtMs, returnDeadlineMs)
      : pollAtMs;
  }

  private adopt(
    {rows, currentAtMs}: decisions.RowsClaim<entry.UpstreamRows>,
    nowMs: number,
  ): void {
    // A read of this process's own that follows must not end the renewal period of the readers.
    if (rows.expiredIds.length > 0 && this.discovery.expiredIds.size === 0)
      this.outageEndedAtMs = currentAtMs;
    const completed = this.completeRows(rows, nowMs);
    this.reachability = decisions.applyReadSuccess(currentAtMs);
    this.setRead(rows.position, currentAtMs, nowMs, 'reader');
    this.discovery = decisions.adoptUpstreams(this.discovery, completed, nowMs);
  }

  /** Begins the time in which lost rows may be written again; further returns within it do not prolong it. */
  private beginGrace(returnedAtMs: number, nowMs: number): void {
    const endsAtMs =
      (this.outageEndedAtMs ?? -Infinity) + decisions.RENEWAL_GRACE_MS;
    if (nowMs >= endsAtMs) this.outageEndedAtMs = returnedAtMs;
  }

  private isNewer(position: entry.StorePosition): boolean {
    return (
      this.position === undefined ||
      decisions.comparePositions(position, this.position) === 'newer'
    );
  }

  /** Gets another VM's rows, with the upstreams that they lack as the store may have lost their rows in a return. */
  private completeRows(
    rows: entry.UpstreamRows,
    nowMs: number,
  ): entry.UpstreamRows {
    const isOtherTimeline =
      this.position !== undefined &&
      decisions.compareTimelines(
        rows.position.timeline,
        this.position.timeline,
      ) === 'newer';
    if (!isOtherTimeline) return rows;
    this.beginGrace(nowMs, nowMs);
    return decisions.addMissingUpstreams(this.discovery, rows);
  }

  private setRead(
    position: entry.StorePosition,
    currentAtMs: number,
    nowMs: number,
    source: messages.RowSource,
  ): void {
    if (!decisions.isSamePosition(position, this.position)) {
      this.positionSinceMs = currentAtMs;
      this.knownAtMs = nowMs;
    }
    this.position = position;
    this.currentAtMs = currentAtMs;
    this.readAtMs = currentAtMs;
    this.source = source;
  }
}
