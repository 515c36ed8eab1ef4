import type * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as readersService from '../readers/ReadersMessage.js';
import type * as store from '../store/index.js';
import type * as messages from './KnowledgeMessage.js';
import type * as reporters from './KnowledgeReporter.js';
import type * as operatorRows from './OperatorRowsState.js';
import type * as upstreamRows from './UpstreamRowsState.js';

/** Applies rows, whoever read them, and publishes those in force to subscribers and to the readers service. */
export class KnowledgeRows {
  private readonly operators: operatorRows.OperatorRowsState;
  private readonly upstreams: upstreamRows.UpstreamRowsState;
  private readonly reporter: reporters.KnowledgeReporter;
  private readonly operatorSubscribers: kernel.Address<messages.OperatorRowsChanged>[] =
    [];
  private readonly upstreamSubscribers: kernel.Address<messages.UpstreamRowsChanged>[] =
    [];
  private context: kernel.TaskContext | undefined;

  /**
   * @param operators The operators' rows.
   * @param upstreams The upstreams' rows.
   * @param reporter Reports which rows come into force.
   */
  constructor(
    operators: operatorRows.OperatorRowsState,
    upstreams: upstreamRows.UpstreamRowsState,
    reporter: reporters.KnowledgeReporter,
  ) {
    this.operators = operators;
    this.upstreams = upstreams;
    this.reporter = reporter;
  }

  /** Sets the context from which the clock and the services are taken. */
  start(context: kernel.TaskContext): void {
    this.context = context;
  }

  /** Adds a subscriber, and sends it the rows in force, if any. */
  subscribe(
    subscription: Extract<
      messages.KnowledgeMessage,
      {kind: 'subscribeOperatorRows' | 'subscribeUpstreamRows'}
    >,
  ): void {
    switch (subscription.kind) {
      case 'subscribeOperatorRows':
        this.operatorSubscribers.push(subscription.subscriber);
        this.publishOperators();
        return;
      case 'subscribeUpstreamRows':
        this.upstreamSubscribers.push(subscription.subscriber);
        this.publishUpstreams();
        return;
      default:
        errors.throwUnreachable(subscription);
    }
  }

  /** Counts the rows as older, after a time in milliseconds in which the monotonic clock stood still. */
  addAge(suspendedMs: number): void {
    this.operators.addAge(suspendedMs);
    this.upstreams.addAge(suspendedMs);
    this.publishOperators();
  }

  /** Applies a read of the operators' rows, which was sent at the monotonic time `sentAtMs` in milliseconds. */
  applyOperatorRead(
    read: operatorRows.OperatorRowsRead,
    sentAtMs: number,
  ): void {
    const nowMs = this.nowMs();
    this.upstreams.recordStoreAnswer(nowMs);
    this.reporter.reportOperatorGap(this.operators.getAgeMs(nowMs));
    const changes: decisions.OperatorRowChange[] = [];
    for (const change of read.changes) {
      if (change.kind === 'unreadable')
        this.reporter.reportUnreadable(change.key, change.reason);
      else changes.push(change);
    }
    const held = this.getHeldOperators();
    this.updateOperators(read.kind, () => {
      const decision = this.operators.applyRead(read, changes, sentAtMs, nowMs);
      if (decision === undefined) return;
      const dated = {position: read.position, currentAtMs: sentAtMs};
      this.reporter.reportRead('operators', decision, dated, held);
    });
    const rows = this.operators.getRows();
    if (rows !== undefined)
      this.getContext().services.getOrThrow(readersService.READERS).post({
        kind: 'operatorRowsRead',
        rows,
        currentAtMs: this.operators.getCurrentAtMs(),
      });
  }

  /** Applies a read of the upstreams' rows, which was sent at the monotonic time `readAtMs` in milliseconds. */
  applyUpstreamRead(
    snapshot: Extract<store.UpstreamReadResult, {kind: 'snapshot'}>,
    readAtMs: number,
  ): void {
    for (const {key, reason} of snapshot.unreadableRows)
      this.reporter.reportUnreadable(key, reason);
    const gapMs = this.getUpstreamsAgeMs();
    const held = this.getHeldUpstreams();
    const decision = this.upstreams.applySnapshot(
      snapshot,
      readAtMs,
      this.nowMs(),
    );
    const {position} = snapshot;
    const dated = {position, currentAtMs: readAtMs};
    this.reporter.reportRead('upstreams', decision, dated, held);
    switch (decision.kind) {
      case 'advance':
        break;
      case 'replace':
        // Both tables have the same history.
        this.operators.requireSnapshot('storeReturned');
        break;
      case 'overtaken':
        return;
      default:
        errors.throwUnreachable(decision);
    }
    this.publishChangedUpstreams(gapMs, 'store');
    const rows = this.upstreams.getRows();
    if (rows !== undefined)
      this.getContext()
        .services.getOrThrow(readersService.READERS)
        .post({kind: 'upstreamRowsRead', rows, currentAtMs: readAtMs});
  }

  /** Applies the operators' rows that a reader announced, unless they contradict those in force. */
  applyReaderOperators(
    readerId: string,
    claim: decisions.RowsClaim<entry.OperatorRows>,
  ): void {
    if (claim.currentAtMs <= this.operators.getCurrentAtMs()) return;
    this.reporter.reportOperatorGap(this.operators.getAgeMs(this.nowMs()));
    this.updateOperators('reader', () => {
      const decision = this.operators.applyReaderRows(claim, this.nowMs());
      if (decision.kind === 'refuse')
        this.reporter.reportRefusal('operators', readerId, decision.reason);
    });
  }

  /** Applies the upstreams' rows that a reader announced, unless they contradict those in force. */
  applyReaderUpstreams(
    readerId: string,
    claim: decisions.RowsClaim<entry.UpstreamRows>,
  ): void {
    const gapMs = this.getUpstreamsAgeMs();
    const decision = this.upstreams.applyReaderRows(claim, this.nowMs());
    switch (decision.kind) {
      case 'adopt':
        this.reporter.reportAdoption();
        this.publishChangedUpstreams(gapMs, 'reader');
        return;
      case 'renew':
      case 'ignore':
        return;
      case 'refuse':
        this.reporter.reportRefusal('upstreams', readerId, decision.reason);
        return;
      default:
        errors.throwUnreachable(decision);
    }
  }

  /** Applies the operators' rows of a peer if they are newer. */
  applyPeerOperators(rows: entry.OperatorRows): void {
    this.updateOperators('peer', () =>
      this.operators.applyPeerRows(rows, this.nowMs()),
    );
  }

  /** Applies the upstreams' rows of a peer if they are newer. */
  applyPeerUpstreams(rows: entry.UpstreamRows): void {
    const gapMs = this.getUpstreamsAgeMs();
    if (!this.upstreams.applyPeerRows(rows, this.nowMs())) return;
    this.publishChangedUpstreams(gapMs, 'peer');
  }

  private getHeldOperators(): reporters.DatedPosition | undefined {
    const position = this.operators.getRows()?.position;
    if (position === undefined) return undefined;
    return {position, currentAtMs: this.operators.getCurrentAtMs()};
  }

  private getHeldUpstreams(): reporters.DatedPosition | undefined {
    const position = this.upstreams.getPosition();
    if (position === undefined) return undefined;
    return {position, currentAtMs: this.upstreams.getReadAtMs()};
  }

  /** Changes the operators' rows, and logs and publishes them. */
  private updateOperators(
    source: reporters.OperatorRowsSource,
    update: () => void,
  ): void {
    const previous = this.operators.getRows();
    const gapMs = this.operators.getAgeMs(this.nowMs());
    update();
    const rows = this.operators.getRows();
    if (rows === undefined) return;
    this.reporter.reportOperatorRows(previous, rows, source, gapMs);
    this.publishOperators();
  }

  /** Publishes the upstreams' rows after a change, before which their age was `gapMs` milliseconds. */
  private publishChangedUpstreams(
    gapMs: number | undefined,
    source: messages.RowSource,
  ): void {
    const readMs = this.getUpstreamsAgeMs();
    this.reporter.reportUpstreamGap(gapMs, readMs, source);
    this.publishUpstreams();
  }

  /** Returns the milliseconds since the upstreams' rows were last current; undefined before the first read. */
  private getUpstreamsAgeMs(): number | undefined {
    if (this.upstreams.getPosition() === undefined) return undefined;
    return this.nowMs() - this.upstreams.getReadAtMs();
  }

  private publishOperators(): void {
    const message = this.operators.getMessage();
    if (message === undefined) return;
    for (const subscriber of this.operatorSubscribers) subscriber.post(message);
  }

  private publishUpstreams(): void {
    const message = this.upstreams.getMessage();
    if (message === undefined) return;
    for (const subscriber of this.upstreamSubscribers) subscriber.post(message);
  }

  private nowMs(): number {
    return this.getContext().clock.monotonicMs();
  }

  private getContext(): kernel.TaskContext {
    if (this.context === undefined)
      throw new Error('the rows are applied before the start');
    return this.context;
  }
}
