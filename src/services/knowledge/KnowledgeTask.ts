import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as store from '../store/index.js';
import type * as messages from './KnowledgeMessage.js';

/** The part of the bound on configuration for which one call waits for changes. */
const FOLLOW_WAIT_PART = 0.4;

/**
 * The part of that bound after which the call is given up: the rest has to do for noticing that a connection is
 * silent and for a whole reading over a new one.
 */
const FOLLOW_TERM_PART = 0.65;

/** The least time in milliseconds from one call for the operators' rows to the next. */
const CALL_INTERVAL_MS = 250;

/** Pause in milliseconds after a failed reading of the upstreams' entries. */
const RETRY_MS = 250;

/** The part of the bound on leaving upstreams after which their entries are read again. */
const UPSTREAM_POLL_PART = 0.45;

/** How much older in milliseconds than usual knowledge may be before peers are asked. */
const PEER_FALLBACK_MS = 600;

/** The least time in milliseconds from one question to a peer to the next. */
const PEER_INTERVAL_MS = 400;

/** How long in milliseconds a peer's answer is waited for. */
const PEER_TIMEOUT_MS = 700;

/** The most lines a minute about rows that cannot be read. */
const UNREADABLE_LOG_INTERVAL_MS = 60_000;

/** The bounds within which knowledge must be acted on, and how often upstreams renew their entries. */
export type KnowledgeBounds = Pick<
  entry.EntryBounds,
  'drainMs' | 'configurationMs' | 'heartbeatMs'
>;

/** Keeps what operators and upstreams wrote: from the store, or from peers while the store is away. */
export class KnowledgeTask extends base.ServiceTask<messages.KnowledgeMessage> {
  private readonly bounds: KnowledgeBounds;
  private readonly operatorSubscribers: kernel.Address<messages.OperatorRowsChanged>[] =
    [];
  private readonly upstreamSubscribers: kernel.Address<messages.UpstreamRowsChanged>[] =
    [];
  private readonly loggedAtMs = new Map<string, number>();
  private operatorRows: entry.OperatorRows | undefined;
  private discovery = decisions.NOTHING_DISCOVERED;
  private upstreamTableVersion = 0;
  private following: decisions.Following = {kind: 'snapshot'};
  private operatorKnownAtMs = -Infinity;
  private upstreamReadAtMs = -Infinity;
  private reach = decisions.UNREAD_STORE;
  private regainedAtMs: number | undefined;
  private view: membersService.MembersChanged | undefined;
  private isAskingPeer = false;
  private peerAskedAtMs = -Infinity;
  private isFollowing = false;
  private peerTurn = 0;
  private isStopped = false;

  /** @param bounds How soon what is learned must be acted on. */
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
      case 'operatorReading':
        this.noteOperatorReading(message.reading, message.sentAtMs);
        return;
      case 'upstreamReading':
        this.noteUpstreamReading(message.reading, message.sentAtMs);
        return;
      case 'membersChanged':
        this.view = message;
        this.askPeerIfBehind();
        return;
      case 'peerKnowledge':
        this.notePeerKnowledge(message);
        return;
      case 'peerFailed':
        this.isAskingPeer = false;
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
    if (this.isStopped || this.isFollowing) return;
    this.isFollowing = true;
    const sentAtMs = this.nowMs();
    const {following} = this;
    void this.getService(store.STORE)
      .ask<store.OperatorReading>(reply => {
        switch (following.kind) {
          case 'snapshot':
            return {kind: 'readOperatorRows', reply};
          case 'changes':
            return {
              kind: 'awaitOperatorRows',
              afterTableVersion: following.afterTableVersion,
              waitMs: this.getFollowWaitMs(),
              deadlineMs:
                sentAtMs + this.bounds.configurationMs * FOLLOW_TERM_PART,
              reply,
            };
        }
      })
      .then(reading =>
        this.getAddress().post({kind: 'operatorReading', reading, sentAtMs}),
      );
  }

  private getFollowWaitMs(): number {
    return Math.round(this.bounds.configurationMs * FOLLOW_WAIT_PART);
  }

  private noteOperatorReading(
    reading: store.OperatorReading,
    sentAtMs: number,
  ): void {
    this.isFollowing = false;
    switch (reading.kind) {
      case 'snapshot':
        this.applyOperatorReading(reading, sentAtMs);
        if (this.operatorRows !== undefined) this.followFrom(reading);
        break;
      case 'changes': {
        const isEmpty = reading.changes.length === 0;
        // The store answers an empty wait only once it is over.
        const knownAtMs = sentAtMs + (isEmpty ? this.getFollowWaitMs() : 0);
        this.applyOperatorReading(reading, knownAtMs);
        // An empty wait may have missed a change, which the next one then brings.
        if (!isEmpty) this.followFrom(reading);
        break;
      }
      case 'historyGone':
        this.log('debug', 'historyGone', {});
        this.following = {kind: 'snapshot'};
        break;
      case 'unavailable':
        this.following = {kind: 'snapshot'};
        this.askPeerIfBehind();
        break;
      default:
        errors.throwUnreachable(reading);
    }
    const nextAtMs = sentAtMs + CALL_INTERVAL_MS;
    this.postAfter(Math.max(0, nextAtMs - this.nowMs()), {
      kind: 'followOperatorRows',
    });
  }

  private followFrom({tableVersion}: {readonly tableVersion: number}): void {
    this.following = {kind: 'changes', afterTableVersion: tableVersion};
  }

  /** Applies a reading that tells how things stood at `knownAtMs`, or later. */
  private applyOperatorReading(
    reading: Extract<store.OperatorReading, {kind: 'snapshot' | 'changes'}>,
    knownAtMs: number,
  ): void {
    const known = this.operatorRows;
    const gapMs = this.getKnowledgeAgeMs();
    this.reach = decisions.noteStoreAnswered(this.reach, this.nowMs());
    this.observe('knowledge_gap_ms', gapMs);
    this.operatorKnownAtMs = Math.min(knownAtMs, this.nowMs());
    const changes: decisions.OperatorRowChange[] = [];
    for (const change of reading.changes) {
      if (change.kind === 'unreadable')
        this.logUnreadable(change.key, change.reason);
      else changes.push(change);
    }
    const isNews = reading.kind === 'snapshot' || changes.length > 0;
    const isOlder =
      known !== undefined && reading.tableVersion < known.tableVersion;
    this.setOperatorRows(
      isNews && !isOlder
        ? decisions.applyOperatorChanges(
            known,
            reading.tableVersion,
            changes,
            reading.kind === 'snapshot',
          )
        : known,
      reading.kind,
      gapMs,
    );
  }

  /** Gets how old in milliseconds the knowledge of the operators' rows is; 0 before the first reading. */
  private getKnowledgeAgeMs(): number {
    if (this.operatorKnownAtMs === -Infinity) return 0;
    return this.nowMs() - this.operatorKnownAtMs;
  }

  /** Puts rows in force that came from `source`, `gapMs` milliseconds after the reading before. */
  private setOperatorRows(
    rows: entry.OperatorRows | undefined,
    source: 'snapshot' | 'changes' | 'peer',
    gapMs: number,
  ): void {
    const known = this.operatorRows;
    this.operatorRows = rows;
    if (rows === undefined) return;
    if (
      known?.configuration !== rows.configuration ||
      known.evacuatedDomains.join() !== rows.evacuatedDomains.join()
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
    // A version that is not known yet was confirmed after `operatorKnownAtMs`, and need not be in force before.
    const certainUntilMs = this.operatorKnownAtMs + this.bounds.configurationMs;
    for (const subscriber of this.operatorSubscribers)
      subscriber.post({kind: 'operatorRowsChanged', rows, certainUntilMs});
  }

  private pollUpstreamRows(): void {
    if (this.isStopped) return;
    const sentAtMs = this.nowMs();
    void this.getService(store.STORE)
      .ask<store.UpstreamReading>(reply => ({kind: 'readUpstreamRows', reply}))
      .then(reading =>
        this.getAddress().post({kind: 'upstreamReading', reading, sentAtMs}),
      );
  }

  private noteUpstreamReading(
    reading: store.UpstreamReading,
    sentAtMs: number,
  ): void {
    switch (reading.kind) {
      case 'snapshot':
        for (const {key, reason} of reading.unreadable)
          this.logUnreadable(key, reason);
        this.setUpstreams(reading.upstreams, reading.tableVersion, sentAtMs);
        this.postAfter(this.getPauseMs(), {kind: 'pollUpstreamRows'});
        return;
      case 'unavailable':
        this.reach = decisions.noteReadingFailed(this.reach, sentAtMs);
        this.askPeerIfBehind();
        this.postAfter(RETRY_MS, {kind: 'pollUpstreamRows'});
        return;
      default:
        errors.throwUnreachable(reading);
    }
  }

  /** Gets the pause until the next reading, which comes no later than the end of the entries' return. */
  private getPauseMs(): number {
    const pollMs = this.getUpstreamPollMs();
    if (this.regainedAtMs === undefined) return pollMs;
    const returnedAtMs = this.regainedAtMs + decisions.RETURN_TERM_MS;
    const leftMs = returnedAtMs - this.nowMs();
    return leftMs > 0 ? Math.min(pollMs, leftMs) : pollMs;
  }

  private getUpstreamPollMs(): number {
    return this.bounds.drainMs * UPSTREAM_POLL_PART;
  }

  private setUpstreams(
    upstreams: readonly entry.UpstreamRecord[],
    tableVersion: number,
    readAtMs: number,
  ): void {
    if (tableVersion < this.upstreamTableVersion) return;
    const outageEndMs = decisions.getOutageEndMs(
      this.reach,
      readAtMs,
      this.bounds.heartbeatMs,
      this.nowMs(),
    );
    const isFirstAfterOutage = outageEndMs !== undefined;
    if (isFirstAfterOutage) this.regainedAtMs = outageEndMs;
    this.reach = decisions.noteReading(readAtMs);
    this.upstreamTableVersion = tableVersion;
    this.upstreamReadAtMs = readAtMs;
    const {regainedAtMs} = this;
    this.discovery = decisions.mergeUpstreams(
      this.discovery,
      {records: upstreams, isFirstAfterOutage, regainedAtMs},
      this.nowMs(),
    );
    this.publishUpstreams();
  }

  /** Takes a peer's rows. They have what lapsed in an outage, so what they lack has left. */
  private setPeersUpstreams(rows: entry.UpstreamRows): void {
    if (rows.tableVersion <= this.upstreamTableVersion) return;
    this.upstreamTableVersion = rows.tableVersion;
    this.upstreamReadAtMs = this.nowMs();
    this.discovery = decisions.takeUpstreams(this.discovery, rows.upstreams);
    this.publishUpstreams();
  }

  private publishUpstreams(): void {
    if (this.upstreamTableVersion === 0) return;
    const upstreams = [...this.discovery.upstreams.values()];
    const message: messages.UpstreamRowsChanged = {
      kind: 'upstreamRowsChanged',
      tableVersion: this.upstreamTableVersion,
      upstreams,
      readAtMs: this.upstreamReadAtMs,
    };
    for (const subscriber of this.upstreamSubscribers) subscriber.post(message);
  }

  private getUpstreamRows(): entry.UpstreamRows | undefined {
    if (this.upstreamTableVersion === 0) return undefined;
    return {
      tableVersion: this.upstreamTableVersion,
      upstreams: [...this.discovery.upstreams.values()],
    };
  }

  /** Asks a peer that knows more, in turn, once the store has been away for a while. */
  private askPeerIfBehind(): void {
    if (this.isAskingPeer || this.isStopped || this.view === undefined) return;
    const nowMs = this.nowMs();
    if (nowMs < this.peerAskedAtMs + PEER_INTERVAL_MS) return;
    // A store that turns this VM away serves others, so what it does not tell is asked for at once.
    const isOperatorStale =
      this.following.kind === 'snapshot' ||
      nowMs - this.operatorKnownAtMs >
        this.getFollowWaitMs() + PEER_FALLBACK_MS;
    const isUpstreamStale =
      this.reach.kind === 'away' ||
      nowMs - this.upstreamReadAtMs >
        this.getUpstreamPollMs() + PEER_FALLBACK_MS;
    const operatorVersion = this.operatorRows?.tableVersion ?? 0;
    const ahead = this.view.statuses.filter(
      status =>
        (isOperatorStale && status.operatorRowsVersion > operatorVersion) ||
        (isUpstreamStale &&
          status.upstreamRowsVersion > this.upstreamTableVersion),
    );
    if (ahead.length === 0) return;
    this.peerTurn += 1;
    const {member} = ahead[this.peerTurn % ahead.length];
    this.isAskingPeer = true;
    this.peerAskedAtMs = nowMs;
    void this.getService(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: member.peersAddress,
        request: {kind: 'getKnowledge'},
        deadlineMs: nowMs + PEER_TIMEOUT_MS,
        reply,
      }))
      .then(result => this.notePeerAnswer(member.vmId, result));
  }

  private notePeerAnswer(vmId: string, result: peersService.CallResult): void {
    if (result.kind !== 'answered' || result.answer.kind !== 'knowledge') {
      this.getAddress().post({kind: 'peerFailed', vmId});
      return;
    }
    const {operatorRows, upstreamRows} = result.answer;
    this.getAddress().post({kind: 'peerKnowledge', operatorRows, upstreamRows});
  }

  private notePeerKnowledge(
    message: Extract<messages.KnowledgeMessage, {kind: 'peerKnowledge'}>,
  ): void {
    this.isAskingPeer = false;
    const {operatorRows, upstreamRows} = message;
    if (operatorRows !== undefined)
      this.setOperatorRows(
        decisions.chooseNewerRows(this.operatorRows, operatorRows),
        'peer',
        this.getKnowledgeAgeMs(),
      );
    if (upstreamRows !== undefined) {
      this.setPeersUpstreams(upstreamRows);
    }
  }

  private logUnreadable(key: string, reason: string): void {
    const nowMs = this.nowMs();
    const loggedAtMs = this.loggedAtMs.get(key) ?? -Infinity;
    if (nowMs - loggedAtMs < UNREADABLE_LOG_INTERVAL_MS) return;
    this.loggedAtMs.set(key, nowMs);
    this.log('warn', 'rowUnreadable', {row: key, reason});
  }

  private postAfter(delayMs: number, message: messages.KnowledgeMessage): void {
    if (this.isStopped) return;
    this.getContext().timers.after(delayMs, () =>
      this.getAddress().post(message),
    );
  }
}
