import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as readersService from '../readers/ReadersMessage.js';
import * as store from '../store/index.js';
import * as neededRows from './getNeededRows.js';
import * as intervals from './intervals.js';
import type * as messages from './KnowledgeMessage.js';
import * as knowledgeRows from './KnowledgeRows.js';
import * as reporters from './KnowledgeReporter.js';
import * as operatorRows from './OperatorRowsState.js';
import * as peerRequesters from './PeerRequester.js';
import * as plans from './ReadPlan.js';
import * as schedules from './ReadSchedule.js';
import * as upstreamRows from './UpstreamRowsState.js';

/** The timeout in milliseconds of a request to a peer, and how long its answer may take while it arrives. */
const PEER_TIMEOUT_MS = 700;
const MAX_PEER_ANSWER_MS = 2100;

/** Over how many milliseconds the VMs spread their reads after the store has returned from an older copy. */
const MAX_SPREAD_MS = 400;

/**
 * Holds the rows that operators and upstreams wrote to the store, and publishes them to subscribers. It reads them from
 * the store, gets them from the readers of a large region, or from peers while the store is unavailable.
 */
export class KnowledgeTask extends base.ServiceTask<messages.KnowledgeMessage> {
  private readonly bounds: intervals.KnowledgeBounds;
  private readonly phase: number;
  private readonly upstreams: upstreamRows.UpstreamRowsState;
  private readonly peerRequester = new peerRequesters.PeerRequester();
  private readonly operators: operatorRows.OperatorRowsState;
  private readonly schedule: schedules.ReadSchedule;
  private readonly plan: plans.ReadPlan;
  private readonly reporter: reporters.KnowledgeReporter;
  private readonly rows: knowledgeRows.KnowledgeRows;
  private members: membersService.MembersChanged | undefined;
  private heardTimeline = decisions.UNNUMBERED_TIMELINE;
  private isOperatorReadPending = false;
  private isUpstreamReadPending = false;
  private cancelOperatorRead: kernel.CancelTimer = () => {};
  private cancelUpstreamRead: kernel.CancelTimer = () => {};
  private isStopped = false;

  /**
   * @param bounds How soon changed rows must take effect.
   * @param phase A random number from 0 to below 1, by which VMs differ in when they read an unavailable store, or one that
   *   has returned.
   */
  constructor(bounds: intervals.KnowledgeBounds, phase: number) {
    super();
    this.bounds = bounds;
    this.phase = phase;
    this.schedule = new schedules.ReadSchedule(bounds, phase);
    this.operators = new operatorRows.OperatorRowsState(bounds);
    this.upstreams = new upstreamRows.UpstreamRowsState(bounds);
    this.plan = new plans.ReadPlan(
      bounds,
      this.schedule,
      this.operators,
      this.upstreams,
    );
    this.reporter = new reporters.KnowledgeReporter(bounds);
    this.rows = new knowledgeRows.KnowledgeRows(
      this.operators,
      this.upstreams,
      this.reporter,
    );
  }

  protected override async onStart(): Promise<void> {
    this.reporter.start(this.getContext());
    this.rows.start(this.getContext());
    this.getService(membersService.MEMBERS).post({
      kind: 'subscribe',
      subscriber: this.getAddress(),
    });
    this.getService(store.STORE).post({
      kind: 'subscribeTimelines',
      subscriber: this.getAddress(),
    });
    this.getAddress().post({kind: 'followOperatorRows'});
    this.getAddress().post({kind: 'pollUpstreamRows'});
  }

  protected override async onStop(): Promise<void> {
    this.isStopped = true;
  }

  protected override receive(message: messages.KnowledgeMessage): void {
    switch (message.kind) {
      case 'subscribeOperatorRows':
      case 'subscribeUpstreamRows':
        this.rows.subscribe(message);
        return;
      case 'followOperatorRows':
        this.followOperatorRows();
        return;
      case 'pollUpstreamRows':
        this.pollUpstreamRows();
        return;
      case 'operatorRowsRead':
        this.handleOperatorReadResult(message.result, message.sentAtMs);
        return;
      case 'upstreamRowsRead':
        this.handleUpstreamReadResult(message.result, message.sentAtMs);
        return;
      case 'membersChanged':
        this.members = message;
        this.noticeReturn(message);
        this.requestFromPeerIfStale();
        return;
      case 'timelineBegun':
        this.readAgain();
        return;
      case 'peerKnowledgeReceived':
        this.applyPeerKnowledge(message);
        return;
      case 'peerFailed':
        this.peerRequester.end();
        this.log('debug', 'peerFailed', {peer: message.vmId});
        return;
      case 'readingChanged':
        this.setReading(message);
        return;
      case 'readerRowsReceived':
        this.applyReaderRows(message);
        return;
      case 'clockStoodStill':
        this.rows.addAge(message.suspendedMs);
        this.scheduleReads();
        return;
      case 'getKnowledge':
        message.reply({
          operatorRows: this.operators.getRows(),
          upstreamRows: this.upstreams.getRows(),
        });
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private followOperatorRows(): void {
    if (this.isStopped || this.isOperatorReadPending) return;
    const sentAtMs = this.nowMs();
    if (!this.checkReadDue('operators', sentAtMs)) return;
    if (this.schedule.isFollower())
      this.operators.requireSnapshot('changesMissed');
    this.isOperatorReadPending = true;
    this.schedule.recordRead('operators', sentAtMs);
    void this.getService(store.STORE)
      .ask<store.OperatorReadResult>(reply =>
        this.operators.getReadMessage(sentAtMs, reply),
      )
      .then(result =>
        this.getAddress().post({
          kind: 'operatorRowsRead',
          result,
          sentAtMs,
        }),
      );
  }

  private handleOperatorReadResult(
    result: store.OperatorReadResult,
    sentAtMs: number,
  ): void {
    this.isOperatorReadPending = false;
    switch (result.kind) {
      case 'snapshot':
      case 'changes':
        this.rows.applyOperatorRead(result, sentAtMs);
        break;
      case 'historyGone':
        this.log('debug', 'historyGone', {});
        this.operators.requireSnapshot('changesMissed');
        break;
      case 'unavailable':
        this.operators.requireSnapshot('changesMissed');
        this.requestFromPeerIfStale();
        break;
      default:
        errors.throwUnreachable(result);
    }
    this.scheduleRead('operators', sentAtMs + schedules.MIN_FOLLOW_INTERVAL_MS);
  }

  private pollUpstreamRows(): void {
    if (this.isStopped || this.isUpstreamReadPending) return;
    const sentAtMs = this.nowMs();
    if (!this.checkReadDue('upstreams', sentAtMs)) return;
    this.isUpstreamReadPending = true;
    this.schedule.recordRead('upstreams', sentAtMs);
    void this.getService(store.STORE)
      .ask<store.UpstreamReadResult>(reply => ({
        kind: 'readUpstreamRows',
        reply,
      }))
      .then(result =>
        this.getAddress().post({
          kind: 'upstreamRowsRead',
          result,
          sentAtMs,
        }),
      );
  }

  private handleUpstreamReadResult(
    result: store.UpstreamReadResult,
    sentAtMs: number,
  ): void {
    this.isUpstreamReadPending = false;
    switch (result.kind) {
      case 'snapshot':
        this.rows.applyUpstreamRead(result, sentAtMs);
        this.scheduleRead(
          'upstreams',
          this.plan.takeNextPollAtMs(sentAtMs, this.nowMs()),
        );
        if (this.schedule.isFollower()) this.scheduleNextRead('operators');
        return;
      case 'unavailable':
        this.upstreams.recordReadFailure(sentAtMs);
        this.getService(readersService.READERS).post({
          kind: 'upstreamReadFailed',
        });
        this.requestFromPeerIfStale();
        this.scheduleRead(
          'upstreams',
          sentAtMs + schedules.MIN_UPSTREAM_RETRY_INTERVAL_MS,
        );
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /** Reads again once a peer reports that the store has returned from an older copy. */
  private noticeReturn({peerStatuses}: membersService.MembersChanged): void {
    const {heardTimeline} = this;
    for (const {operatorRowsPosition, upstreamRowsPosition} of peerStatuses)
      for (const {timeline} of [operatorRowsPosition, upstreamRowsPosition])
        if (
          decisions.compareTimelines(timeline, this.heardTimeline) === 'newer'
        )
          this.heardTimeline = timeline;
    const known = this.upstreams.getPosition()?.timeline;
    if (
      this.heardTimeline !== heardTimeline &&
      known !== undefined &&
      decisions.compareTimelines(this.heardTimeline, known) === 'newer'
    )
      this.readAgain();
  }

  /** Reads all rows: what is known may be of a history of the store that has ended. VMs spread these reads. */
  private readAgain(): void {
    this.operators.requireSnapshot('storeReturned');
    const nowMs = this.nowMs();
    const atMs = nowMs + this.phase * MAX_SPREAD_MS;
    for (const table of ['operators', 'upstreams'] as const)
      this.scheduleRead(
        table,
        Math.min(atMs, this.plan.getNextReadAtMs(table, nowMs)),
      );
  }

  private setReading({
    reading,
    isStoreUnavailable,
  }: Extract<messages.KnowledgeMessage, {kind: 'readingChanged'}>): void {
    // Changes since the last call of this process may have been applied from a reader's rows.
    if (this.schedule.setReading(reading, isStoreUnavailable))
      this.operators.requireSnapshot('changesMissed');
    this.scheduleReads();
  }

  /** Reschedules both reads, because the age of the rows or the role of this VM has changed. */
  private scheduleReads(): void {
    this.scheduleNextRead('operators');
    this.scheduleNextRead('upstreams');
  }

  /** Returns whether a table is to be read now; schedules a later read if readers announce its rows in time. */
  private checkReadDue(
    table: schedules.KnowledgeTable,
    sentAtMs: number,
  ): boolean {
    if (!this.schedule.isFollower()) return true;
    const readAtMs = this.plan.getNextReadAtMs(table, this.nowMs());
    if (readAtMs > sentAtMs) {
      this.scheduleRead(table, readAtMs);
      return false;
    }
    const ageMs = this.nowMs() - this.plan.getCurrentAtMs(table);
    this.reporter.reportDirectRead(table, ageMs);
    return true;
  }

  /** Applies the rows that a reader announced. A VM that reads the store uses them only while its own are late. */
  private applyReaderRows({
    readerId,
    upstreams,
    operators,
  }: Extract<messages.KnowledgeMessage, {kind: 'readerRowsReceived'}>): void {
    // Only one of two readers moves its reads.
    if (upstreams !== undefined && readerId < (this.members?.selfId ?? ''))
      this.plan.setOtherReaderReadAtMs(upstreams.currentAtMs);
    if (
      upstreams !== undefined &&
      this.plan.isReaderNeeded('upstreams', this.nowMs())
    )
      this.rows.applyReaderUpstreams(readerId, upstreams);
    if (
      operators !== undefined &&
      this.plan.isReaderNeeded('operators', this.nowMs())
    )
      this.rows.applyReaderOperators(readerId, operators);
  }

  /** Requests rows from a peer that reports a newer position, if this process could not read the store in time. */
  private requestFromPeerIfStale(): void {
    if (this.isStopped) return;
    const nowMs = this.nowMs();
    const needed = neededRows.getNeededRows(
      this.operators,
      this.upstreams,
      this.schedule.isFollower(),
      this.bounds,
      nowMs,
    );
    const member = this.peerRequester.begin(this.members, needed, nowMs);
    if (member === undefined) return;
    void this.getService(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: member.peersAddress,
        request: {kind: 'getKnowledge'},
        deadlineMs: nowMs + PEER_TIMEOUT_MS,
        lastDeadlineMs: nowMs + MAX_PEER_ANSWER_MS,
        reply,
      }))
      .then(result => this.handlePeerAnswer(member.vmId, result));
  }

  private handlePeerAnswer(
    vmId: string,
    result: peersService.CallResult,
  ): void {
    if (result.kind !== 'answered' || result.answer.kind !== 'knowledge') {
      this.getAddress().post({kind: 'peerFailed', vmId});
      return;
    }
    const {operatorRows, upstreamRows} = result.answer;
    this.getAddress().post({
      kind: 'peerKnowledgeReceived',
      operatorRows,
      upstreamRows,
    });
  }

  private applyPeerKnowledge({
    operatorRows,
    upstreamRows,
  }: Extract<
    messages.KnowledgeMessage,
    {kind: 'peerKnowledgeReceived'}
  >): void {
    this.peerRequester.end();
    if (operatorRows !== undefined) this.rows.applyPeerOperators(operatorRows);
    if (upstreamRows !== undefined) this.rows.applyPeerUpstreams(upstreamRows);
  }

  private scheduleNextRead(table: schedules.KnowledgeTable): void {
    this.scheduleRead(table, this.plan.getNextReadAtMs(table, this.nowMs()));
  }

  private scheduleRead(table: schedules.KnowledgeTable, atMs: number): void {
    switch (table) {
      case 'operators':
        this.cancelOperatorRead();
        this.cancelOperatorRead = this.postAt(atMs, {
          kind: 'followOperatorRows',
        });
        return;
      case 'upstreams':
        this.cancelUpstreamRead();
        this.cancelUpstreamRead = this.postAt(atMs, {kind: 'pollUpstreamRows'});
        return;
      default:
        errors.throwUnreachable(table);
    }
  }

  private postAt(
    atMs: number,
    message: messages.KnowledgeMessage,
  ): kernel.CancelTimer {
    if (this.isStopped) return () => {};
    return this.getContext().timers.after(
      Math.max(0, atMs - this.nowMs()),
      () => this.getAddress().post(message),
    );
  }
}
