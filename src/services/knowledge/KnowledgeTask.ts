import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as store from '../store/index.js';
import type * as messages from './KnowledgeMessage.js';

/**
 * The fraction of `maxConfigurationDelayMs`, the bound on applying a configuration, for which one call to the store
 * waits for changes of the operators' rows.
 */
const FOLLOW_WAIT_FRACTION = 0.4;

/**
 * The fraction of `maxConfigurationDelayMs` after which that call times out. The rest of the bound must suffice to
 * detect a silent connection and to read all rows over a new one.
 */
const FOLLOW_TIMEOUT_FRACTION = 0.65;

/** The shortest time in milliseconds between the starts of two calls that read the operators' rows. */
const MIN_FOLLOW_INTERVAL_MS = 250;

/** The age of the upstreams' rows from which a read that replaces them is logged, as a fraction of `maxDrainDelayMs`. */
const LATE_ROWS_FRACTION = 0.8;

/** The shortest time in milliseconds between the starts of a failed read of the upstreams' rows and the next one. */
const MIN_UPSTREAM_RETRY_INTERVAL_MS = 250;

/** The interval between two reads of the upstreams' rows, as a fraction of `maxDrainDelayMs`. */
const UPSTREAM_POLL_FRACTION = 0.45;

/** By how many milliseconds rows may exceed their usual age before this process requests them from a peer. */
const PEER_FALLBACK_DELAY_MS = 600;

/** The shortest time in milliseconds between two requests to peers. */
const MIN_PEER_REQUEST_INTERVAL_MS = 400;

/** The timeout in milliseconds of a request to a peer, and how long its answer may take while it arrives. */
const PEER_TIMEOUT_MS = 700;
const MAX_PEER_ANSWER_MS = 2100;

/** The shortest time in milliseconds between two log lines about the same unreadable row. */
const UNREADABLE_LOG_INTERVAL_MS = 60_000;

/** How soon changed rows must take effect, and how often upstreams renew their rows. */
export type KnowledgeBounds = Pick<
  entry.EntryBounds,
  'maxDrainDelayMs' | 'maxConfigurationDelayMs' | 'heartbeatIntervalMs'
>;

/**
 * Holds the rows that operators and upstreams wrote to the store, and publishes them to subscribers. It reads them from
 * the store, or from peers while the store is unavailable.
 */
export class KnowledgeTask extends base.ServiceTask<messages.KnowledgeMessage> {
  private readonly bounds: KnowledgeBounds;
  private readonly operatorSubscribers: kernel.Address<messages.OperatorRowsChanged>[] =
    [];
  private readonly upstreamSubscribers: kernel.Address<messages.UpstreamRowsChanged>[] =
    [];
  private readonly unreadableLoggedAtMs = new Map<string, number>();
  private operatorRows: entry.OperatorRows | undefined;
  private discovery = decisions.INITIAL_DISCOVERY;
  private upstreamTableVersion = 0;
  private following: decisions.TableReadMode = {kind: 'snapshot'};
  private operatorRowsCurrentAtMs = -Infinity;
  private upstreamRowsReadAtMs = -Infinity;
  private upstreamRowsSource: messages.RowSource = 'store';
  private storeAvailability = decisions.INITIAL_STORE_REACHABILITY;
  private outageEndedAtMs: number | undefined;
  private members: membersService.MembersChanged | undefined;
  private isPeerRequestPending = false;
  private peerRequestedAtMs = -Infinity;
  private isOperatorReadPending = false;
  private peerRequestCount = 0;
  private isStopped = false;

  /** @param bounds How soon changed rows must take effect. */
  constructor(bounds: KnowledgeBounds) {
    super();
    this.bounds = bounds;
  }

  protected override async onStart(): Promise<void> {
    this.getService(membersService.MEMBERS).post({
      kind: 'subscribe',
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
        this.operatorSubscribers.push(message.subscriber);
        this.publishOperatorRows();
        return;
      case 'subscribeUpstreamRows':
        this.upstreamSubscribers.push(message.subscriber);
        this.publishUpstreams();
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
        this.requestFromPeerIfStale();
        return;
      case 'peerKnowledgeReceived':
        this.applyPeerKnowledge(message);
        return;
      case 'peerFailed':
        this.isPeerRequestPending = false;
        this.log('debug', 'peerFailed', {peer: message.vmId});
        return;
      case 'getKnowledge':
        message.reply({
          operatorRows: this.operatorRows,
          upstreamRows: this.getUpstreamRows(),
        });
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private followOperatorRows(): void {
    if (this.isStopped || this.isOperatorReadPending) return;
    this.isOperatorReadPending = true;
    const sentAtMs = this.nowMs();
    const {following} = this;
    void this.getService(store.STORE)
      .ask<store.OperatorReadResult>(reply => {
        switch (following.kind) {
          case 'snapshot':
            return {kind: 'readOperatorRows', reply};
          case 'changes':
            return {
              kind: 'awaitOperatorRows',
              afterTableVersion: following.afterTableVersion,
              waitMs: this.getFollowWaitMs(),
              deadlineMs:
                sentAtMs +
                this.bounds.maxConfigurationDelayMs * FOLLOW_TIMEOUT_FRACTION,
              reply,
            };
        }
      })
      .then(result =>
        this.getAddress().post({
          kind: 'operatorRowsRead',
          result,
          sentAtMs,
        }),
      );
  }

  private getFollowWaitMs(): number {
    return Math.round(
      this.bounds.maxConfigurationDelayMs * FOLLOW_WAIT_FRACTION,
    );
  }

  private handleOperatorReadResult(
    result: store.OperatorReadResult,
    sentAtMs: number,
  ): void {
    this.isOperatorReadPending = false;
    switch (result.kind) {
      case 'snapshot':
        this.applyOperatorReadResult(result, sentAtMs);
        if (this.operatorRows !== undefined) this.followFrom(result);
        break;
      case 'changes': {
        const isEmpty = result.changes.length === 0;
        // The store sends an answer without changes only at the end of the wait: the rows were unchanged until then.
        const currentAtMs = sentAtMs + (isEmpty ? this.getFollowWaitMs() : 0);
        this.applyOperatorReadResult(result, currentAtMs);
        // An answer without changes may have missed one; the next call repeats the version and returns the change.
        if (!isEmpty) this.followFrom(result);
        break;
      }
      case 'historyGone':
        this.log('debug', 'historyGone', {});
        this.following = {kind: 'snapshot'};
        break;
      case 'unavailable':
        this.following = {kind: 'snapshot'};
        this.requestFromPeerIfStale();
        break;
      default:
        errors.throwUnreachable(result);
    }
    const nextAtMs = sentAtMs + MIN_FOLLOW_INTERVAL_MS;
    this.postAfter(Math.max(0, nextAtMs - this.nowMs()), {
      kind: 'followOperatorRows',
    });
  }

  private followFrom({tableVersion}: {readonly tableVersion: number}): void {
    this.following = {kind: 'changes', afterTableVersion: tableVersion};
  }

  /** Applies rows that were current at the monotonic time `currentAtMs` or later. */
  private applyOperatorReadResult(
    result: Extract<store.OperatorReadResult, {kind: 'snapshot' | 'changes'}>,
    currentAtMs: number,
  ): void {
    const previous = this.operatorRows;
    const gapMs = this.getOperatorRowsAgeMs();
    this.storeAvailability = decisions.applyStoreAnswer(
      this.storeAvailability,
      this.nowMs(),
    );
    this.observe('knowledge_gap_ms', gapMs);
    this.operatorRowsCurrentAtMs = Math.min(currentAtMs, this.nowMs());
    const changes: decisions.OperatorRowChange[] = [];
    for (const change of result.changes) {
      if (change.kind === 'unreadable')
        this.logUnreadable(change.key, change.reason);
      else changes.push(change);
    }
    const hasNewRows = result.kind === 'snapshot' || changes.length > 0;
    const isOlder =
      previous !== undefined && result.tableVersion < previous.tableVersion;
    this.setOperatorRows(
      hasNewRows && !isOlder
        ? decisions.applyOperatorChanges(
            previous,
            result.tableVersion,
            changes,
            result.kind === 'snapshot',
          )
        : previous,
      result.kind,
      gapMs,
    );
  }

  /** Returns the milliseconds since the operators' rows were last current; 0 before the first read. */
  private getOperatorRowsAgeMs(): number {
    if (this.operatorRowsCurrentAtMs === -Infinity) return 0;
    return this.nowMs() - this.operatorRowsCurrentAtMs;
  }

  /** Stores and publishes rows from `source`; the previous ones were last current `gapMs` milliseconds ago. */
  private setOperatorRows(
    rows: entry.OperatorRows | undefined,
    source: 'snapshot' | 'changes' | 'peer',
    gapMs: number,
  ): void {
    const previous = this.operatorRows;
    this.operatorRows = rows;
    if (rows === undefined) return;
    if (
      previous?.configuration !== rows.configuration ||
      previous.evacuatedDomains.join() !== rows.evacuatedDomains.join()
    )
      this.log('info', 'configurationApplied', {
        version: rows.configuration.version,
        tableVersion: rows.tableVersion,
        evacuated: rows.evacuatedDomains.join(),
        source,
        gapMs: Math.round(gapMs),
      });
    this.publishOperatorRows();
  }

  private publishOperatorRows(): void {
    const rows = this.operatorRows;
    if (rows === undefined) return;
    // A version that this process has not read yet was confirmed to the operator after `operatorRowsCurrentAtMs`, so
    // it need not be in force earlier than `maxConfigurationDelayMs` after that time.
    const freshUntilMs =
      this.operatorRowsCurrentAtMs + this.bounds.maxConfigurationDelayMs;
    for (const subscriber of this.operatorSubscribers)
      subscriber.post({
        kind: 'operatorRowsChanged',
        rows,
        freshUntilMs: freshUntilMs,
      });
  }

  private pollUpstreamRows(): void {
    if (this.isStopped) return;
    const sentAtMs = this.nowMs();
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
    switch (result.kind) {
      case 'snapshot':
        for (const {key, reason} of result.unreadableRows)
          this.logUnreadable(key, reason);
        this.applyUpstreamSnapshot(result, sentAtMs);
        this.pollUpstreamRowsAt(this.getNextUpstreamPollAtMs(sentAtMs));
        return;
      case 'unavailable':
        this.storeAvailability = decisions.applyReadFailure(
          this.storeAvailability,
          sentAtMs,
        );
        this.requestFromPeerIfStale();
        this.pollUpstreamRowsAt(sentAtMs + MIN_UPSTREAM_RETRY_INTERVAL_MS);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  private pollUpstreamRowsAt(atMs: number): void {
    this.postAfter(Math.max(0, atMs - this.nowMs()), {
      kind: 'pollUpstreamRows',
    });
  }

  /**
   * Returns the monotonic time in milliseconds of the next read. The interval is counted from the time at which the last
   * read was sent, so that slow reads are not further apart. After an outage of the store, the next read starts no
   * later than the end of the period in which upstreams may write their expired rows again.
   */
  private getNextUpstreamPollAtMs(sentAtMs: number): number {
    const pollAtMs = sentAtMs + this.getUpstreamPollIntervalMs();
    if (this.outageEndedAtMs === undefined) return pollAtMs;
    const returnDeadlineMs = this.outageEndedAtMs + decisions.RENEWAL_GRACE_MS;
    return returnDeadlineMs > this.nowMs()
      ? Math.min(pollAtMs, returnDeadlineMs)
      : pollAtMs;
  }

  private getUpstreamPollIntervalMs(): number {
    return this.bounds.maxDrainDelayMs * UPSTREAM_POLL_FRACTION;
  }

  private applyUpstreamSnapshot(
    {
      upstreams,
      unreadableRows,
      tableVersion,
    }: Extract<store.UpstreamReadResult, {kind: 'snapshot'}>,
    readAtMs: number,
  ): void {
    if (tableVersion < this.upstreamTableVersion) return;
    const outageEndMs = decisions.getOutageEndMs(
      this.storeAvailability,
      readAtMs,
      this.bounds.heartbeatIntervalMs,
      this.nowMs(),
    );
    const isFirstAfterOutage = outageEndMs !== undefined;
    if (isFirstAfterOutage) this.outageEndedAtMs = outageEndMs;
    this.storeAvailability = decisions.applyReadSuccess(readAtMs);
    this.setUpstreamRowsRead(tableVersion, readAtMs, 'store');
    const {outageEndedAtMs} = this;
    this.discovery = decisions.mergeUpstreams(
      this.discovery,
      {
        records: upstreams,
        unreadableIds: unreadableRows.map(({key}) => key),
        isFirstAfterOutage,
        outageEndedAtMs: outageEndedAtMs,
      },
      this.nowMs(),
    );
    this.publishUpstreams();
  }

  /** Applies a peer's newer upstreams. */
  private applyPeerUpstreamRows(rows: entry.UpstreamRows): void {
    if (rows.tableVersion <= this.upstreamTableVersion) return;
    this.setUpstreamRowsRead(rows.tableVersion, this.nowMs(), 'peer');
    this.discovery = decisions.mergePeerUpstreams(
      this.discovery,
      rows,
      this.nowMs(),
    );
    this.publishUpstreams();
  }

  /** Records a read of the upstreams' rows, and logs when the rows before it had become old. */
  private setUpstreamRowsRead(
    tableVersion: number,
    readAtMs: number,
    source: messages.RowSource,
  ): void {
    const isFirst = this.upstreamTableVersion === 0;
    const gapMs = this.nowMs() - this.upstreamRowsReadAtMs;
    this.upstreamTableVersion = tableVersion;
    this.upstreamRowsReadAtMs = readAtMs;
    this.upstreamRowsSource = source;
    if (isFirst) return;
    this.observe('upstream_rows_gap_ms', gapMs);
    if (gapMs > LATE_ROWS_FRACTION * this.bounds.maxDrainDelayMs)
      this.log('warn', 'upstreamRowsLate', {
        gapMs: Math.round(gapMs),
        readMs: Math.round(this.nowMs() - readAtMs),
        source,
      });
  }

  private publishUpstreams(): void {
    if (this.upstreamTableVersion === 0) return;
    const upstreams = [...this.discovery.upstreams.values()];
    const message: messages.UpstreamRowsChanged = {
      kind: 'upstreamRowsChanged',
      tableVersion: this.upstreamTableVersion,
      upstreams,
      readAtMs: this.upstreamRowsReadAtMs,
      source: this.upstreamRowsSource,
    };
    for (const subscriber of this.upstreamSubscribers) subscriber.post(message);
  }

  private getUpstreamRows(): entry.UpstreamRows | undefined {
    if (this.upstreamTableVersion === 0) return undefined;
    return {
      tableVersion: this.upstreamTableVersion,
      upstreams: [...this.discovery.upstreams.values()],
      expiredIds: [...this.discovery.expiredIds],
    };
  }

  /**
   * Requests rows from a peer that reports a newer version, if this process could not read the store in time.
   * Successive requests go to different peers.
   */
  private requestFromPeerIfStale(): void {
    if (
      this.isPeerRequestPending ||
      this.isStopped ||
      this.members === undefined
    )
      return;
    const nowMs = this.nowMs();
    if (nowMs < this.peerRequestedAtMs + MIN_PEER_REQUEST_INTERVAL_MS) return;
    // A store that refuses this VM may serve other VMs, so after a failed read a peer is asked without delay.
    const isOperatorStale =
      this.following.kind === 'snapshot' ||
      nowMs - this.operatorRowsCurrentAtMs >
        this.getFollowWaitMs() + PEER_FALLBACK_DELAY_MS;
    const isUpstreamStale =
      this.storeAvailability.kind === 'unreachable' ||
      nowMs - this.upstreamRowsReadAtMs >
        this.getUpstreamPollIntervalMs() + PEER_FALLBACK_DELAY_MS;
    const operatorRowsVersion = this.operatorRows?.tableVersion ?? 0;
    const newerPeers = this.members.peerStatuses.filter(
      status =>
        (isOperatorStale && status.operatorRowsVersion > operatorRowsVersion) ||
        (isUpstreamStale &&
          status.upstreamRowsVersion > this.upstreamTableVersion),
    );
    if (newerPeers.length === 0) return;
    this.peerRequestCount += 1;
    const {member} = newerPeers[this.peerRequestCount % newerPeers.length];
    this.isPeerRequestPending = true;
    this.peerRequestedAtMs = nowMs;
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

  private applyPeerKnowledge(
    message: Extract<
      messages.KnowledgeMessage,
      {kind: 'peerKnowledgeReceived'}
    >,
  ): void {
    this.isPeerRequestPending = false;
    const {operatorRows, upstreamRows} = message;
    if (operatorRows !== undefined)
      this.setOperatorRows(
        decisions.chooseNewerRows(this.operatorRows, operatorRows),
        'peer',
        this.getOperatorRowsAgeMs(),
      );
    if (upstreamRows !== undefined) {
      this.applyPeerUpstreamRows(upstreamRows);
    }
  }

  private logUnreadable(key: string, reason: string): void {
    const nowMs = this.nowMs();
    const unreadableLoggedAtMs =
      this.unreadableLoggedAtMs.get(key) ?? -Infinity;
    if (nowMs - unreadableLoggedAtMs < UNREADABLE_LOG_INTERVAL_MS) return;
    this.unreadableLoggedAtMs.set(key, nowMs);
    this.log('warn', 'rowUnreadable', {row: key, reason});
  }

  private postAfter(delayMs: number, message: messages.KnowledgeMessage): void {
    if (this.isStopped) return;
    this.getContext().timers.after(delayMs, () =>
      this.getAddress().post(message),
    );
  }
}
