import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as store from '../store/index.js';
import type * as messages from './KnowledgeMessage.js';

/** How long in milliseconds one call waits for a change; also how soon a silent connection is noticed. */
const FOLLOW_WAIT_MS = 2500;

/** Pause in milliseconds after a failed reading of the store. */
const RETRY_MS = 250;

/** The part of the bound on leaving upstreams after which their entries are read again. */
const UPSTREAM_POLL_PART = 0.45;

/**
 * How long in milliseconds after a reading "unknown" is still answered with certainty: the call that follows
 * it brings any change at once, and has come back by then.
 */
const CERTAIN_MS = FOLLOW_WAIT_MS + 1000;

/** How long in milliseconds the store may be away before peers are asked. */
const PEER_FALLBACK_MS = 600;

/** How long in milliseconds a peer's answer is waited for. */
const PEER_TIMEOUT_MS = 700;

/** The most lines a minute about rows that cannot be read. */
const UNREADABLE_LOG_INTERVAL_MS = 60_000;

/** Keeps what operators and upstreams wrote: from the store, or from peers while the store is away. */
export class KnowledgeTask extends base.ServiceTask<messages.KnowledgeMessage> {
  private readonly drainMs: number;
  private readonly operatorSubscribers: kernel.Address<messages.OperatorRowsChanged>[] =
    [];
  private readonly upstreamSubscribers: kernel.Address<messages.UpstreamRowsChanged>[] =
    [];
  private readonly loggedAtMs = new Map<string, number>();
  private operatorRows: entry.OperatorRows | undefined;
  private discovery = decisions.NOTHING_DISCOVERED;
  private upstreamTableVersion = 0;
  private operatorReadAtMs = -Infinity;
  private certainUntilMs = -Infinity;
  private upstreamReadAtMs = -Infinity;
  private reach: decisions.StoreReach = {kind: 'reached'};
  private regainedAtMs: number | undefined;
  private view: membersService.MembersChanged | undefined;
  private isAskingPeer = false;
  private isFollowing = false;
  private peerTurn = 0;
  private isStopped = false;

  /** @param drainMs How soon a leaving upstream gets nothing more, in milliseconds. */
  constructor(drainMs: number) {
    super();
    this.drainMs = drainMs;
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
    const address = this.getService(store.STORE);
    const {operatorRows} = this;
    const reading =
      operatorRows === undefined
        ? address.ask<store.OperatorReading>(reply => ({
            kind: 'readOperatorRows',
            reply,
          }))
        : address.ask<store.OperatorReading>(reply => ({
            kind: 'awaitOperatorRows',
            afterTableVersion: operatorRows.tableVersion,
            waitMs: FOLLOW_WAIT_MS,
            reply,
          }));
    void reading.then(result =>
      this.getAddress().post({
        kind: 'operatorReading',
        reading: result,
        sentAtMs,
      }),
    );
  }

  private noteOperatorReading(
    reading: store.OperatorReading,
    sentAtMs: number,
  ): void {
    this.isFollowing = false;
    switch (reading.kind) {
      case 'snapshot':
      case 'changes':
        this.applyOperatorReading(reading, sentAtMs);
        this.postAfter(this.operatorRows === undefined ? RETRY_MS : 0, {
          kind: 'followOperatorRows',
        });
        return;
      case 'historyGone':
        this.log('warn', 'historyGone', {});
        this.readOperatorSnapshot();
        return;
      case 'unavailable':
        this.askPeerIfBehind();
        this.postAfter(RETRY_MS, {kind: 'followOperatorRows'});
        return;
      default:
        errors.throwUnreachable(reading);
    }
  }

  private readOperatorSnapshot(): void {
    this.isFollowing = true;
    const sentAtMs = this.nowMs();
    void this.getService(store.STORE)
      .ask<store.OperatorReading>(reply => ({kind: 'readOperatorRows', reply}))
      .then(reading =>
        this.getAddress().post({kind: 'operatorReading', reading, sentAtMs}),
      );
  }

  private applyOperatorReading(
    reading: Extract<store.OperatorReading, {kind: 'snapshot' | 'changes'}>,
    sentAtMs: number,
  ): void {
    const known = this.operatorRows;
    const gapMs = this.getReadingAgeMs();
    this.reach = decisions.noteStoreAnswered(this.reach, this.nowMs());
    this.observe('knowledge_gap_ms', gapMs);
    this.operatorReadAtMs = sentAtMs;
    this.certainUntilMs = this.nowMs() + CERTAIN_MS;
    if (known !== undefined && reading.tableVersion < known.tableVersion)
      return;
    const changes: decisions.OperatorRowChange[] = [];
    for (const change of reading.changes) {
      if (change.kind === 'unreadable')
        this.logUnreadable(change.key, change.reason);
      else changes.push(change);
    }
    this.setOperatorRows(
      decisions.applyOperatorChanges(
        known,
        reading.tableVersion,
        changes,
        reading.kind === 'snapshot',
      ),
      reading.kind,
      gapMs,
    );
  }

  /** Gets how long ago in milliseconds the last reading of the operators' rows was sent; 0 before the first. */
  private getReadingAgeMs(): number {
    if (this.operatorReadAtMs === -Infinity) return 0;
    return this.nowMs() - this.operatorReadAtMs;
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
    const {certainUntilMs} = this;
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
    return this.drainMs * UPSTREAM_POLL_PART;
  }

  private setUpstreams(
    upstreams: readonly entry.UpstreamRecord[],
    tableVersion: number,
    readAtMs: number,
  ): void {
    if (tableVersion < this.upstreamTableVersion) return;
    const outageEndMs = decisions.getOutageEndMs(this.reach, this.nowMs());
    const isFirstAfterOutage = outageEndMs !== undefined;
    if (isFirstAfterOutage) this.regainedAtMs = outageEndMs;
    this.reach = {kind: 'reached'};
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
    const isOperatorStale =
      nowMs - this.operatorReadAtMs > FOLLOW_WAIT_MS + PEER_FALLBACK_MS;
    const isUpstreamStale =
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
    const knownVersion = this.operatorRows?.tableVersion ?? 0;
    if (operatorRows !== undefined && operatorRows.tableVersion > knownVersion)
      this.setOperatorRows(operatorRows, 'peer', this.getReadingAgeMs());
    if (upstreamRows !== undefined) {
      const {upstreams, tableVersion} = upstreamRows;
      if (tableVersion > this.upstreamTableVersion)
        this.setUpstreams(upstreams, tableVersion, this.nowMs());
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
