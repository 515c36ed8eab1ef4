import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as peers from '../../model/peers/index.js';
import * as base from '../base/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import type * as messages from './ReadersMessage.js';
import * as receivers from './Receiver.js';

/** The timeout in milliseconds of an announcement: a receiver that takes longer reads the store itself. */
const ANNOUNCEMENT_TIMEOUT_MS = 700;

/**
 * The largest number of announcements with all rows that are sent at a time. All rows take 40 ms on a link of 10 Mbit/s;
 * sent to a whole region at once, they would delay each other beyond the timeout.
 */
const MAX_COMPLETE_SENDS = 4;

/** How long in milliseconds a reader's report that the store is unavailable counts; longer than the interval of its reads. */
const STORE_REPORT_TERM_MS = 2000;

/** A reader whose announcements this VM receives. */
interface KnownReader {
  readonly followed: decisions.FollowedReader;
  readonly isStoreAvailable: boolean;
  readonly heardAtMs: number;
}

/**
 * Decides whether this VM reads the store for its region, announces what it read to the region's VMs, and passes the
 * rows that readers announce on to the knowledge service.
 */
export class ReadersTask extends base.ServiceTask<messages.ReadersMessage> {
  private readonly self: entry.MemberRecord;
  private selection = decisions.INITIAL_READER_SELECTION;
  private clock: decisions.ClockEpoch = {epoch: 1, monotonicMs: 0, wallMs: 0};
  private stream: decisions.RowsStream | undefined;
  private operators:
    | {readonly rows: entry.OperatorRows; readonly currentAtMs: number}
    | undefined;
  private isStoreAvailable = true;
  private isStoreReportedUnavailable = false;
  private announcedAtMs = -Infinity;
  private receivers: ReadonlyMap<string, receivers.Receiver> = new Map();

  /** The receivers that wait until fewer announcements with all rows are being sent. */
  private readonly waitingIds = new Set<string>();
  private readonly readers = new Map<string, KnownReader>();
  private isStarted = false;
  private isStopped = false;

  /** @param self This VM's record. */
  constructor(self: entry.MemberRecord) {
    super();
    this.self = self;
  }

  protected override async onStart(): Promise<void> {
    const {clock} = this.getContext();
    this.clock = {
      epoch: 1,
      monotonicMs: clock.monotonicMs(),
      wallMs: clock.wallMs(),
    };
    this.isStarted = true;
    this.getService(membersService.MEMBERS).post({
      kind: 'subscribe',
      subscriber: this.getAddress(),
    });
  }

  protected override async onStop(): Promise<void> {
    this.isStopped = true;
  }

  protected override receive(message: messages.ReadersMessage): void {
    if (!this.isStarted) {
      // The peers' listener is open already; an announcement without an answer would keep its reader waiting.
      if (message.kind === 'rowsAnnounced')
        message.reply({clock: {epoch: 0, atMs: 0}});
      return;
    }
    this.checkClock();
    switch (message.kind) {
      case 'membersChanged':
        this.updateSelection(message);
        return;
      case 'upstreamRowsRead':
        this.handleUpstreamRows(message.rows, message.currentAtMs);
        return;
      case 'operatorRowsRead':
        this.operators = message;
        this.announce();
        return;
      case 'upstreamReadFailed':
        this.handleReadFailure();
        return;
      case 'rowsAnnounced':
        message.reply(this.handleAnnouncement(message.announcement));
        return;
      case 'announcementEnded':
        this.handleAnnouncementEnd(message);
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  /** Notices that this VM was suspended: rows are older than the monotonic clock says. */
  private checkClock(): void {
    const {clock} = this.getContext();
    const check = decisions.checkClock(
      this.clock,
      clock.monotonicMs(),
      clock.wallMs(),
    );
    this.clock = check.clock;
    const {suspendedMs} = check;
    if (suspendedMs === 0) return;
    this.dropClockBounds(suspendedMs);
    // Regions without readers go on as before.
    if (this.selection.reading.kind === 'independent') return;
    this.log('warn', 'clockStoodStill', {
      suspendedMs: Math.round(suspendedMs),
    });
    this.getService(knowledgeService.KNOWLEDGE).post({
      kind: 'clockStoodStill',
      suspendedMs,
    });
  }

  /** Drops what is known of other VMs' clocks, and counts the announced rows as older. */
  private dropClockBounds(suspendedMs: number): void {
    for (const [vmId, reader] of this.readers)
      this.readers.set(vmId, {
        ...reader,
        followed: decisions.dropOffset(reader.followed),
      });
    this.receivers = new Map(
      [...this.receivers].map(([vmId, receiver]) => [
        vmId,
        {...receiver, echo: undefined},
      ]),
    );
    if (this.stream !== undefined)
      this.stream = {
        ...this.stream,
        currentAtMs: this.stream.currentAtMs - suspendedMs,
      };
    if (this.operators !== undefined)
      this.operators = {
        ...this.operators,
        currentAtMs: this.operators.currentAtMs - suspendedMs,
      };
  }

  private updateSelection(members: membersService.MembersChanged): void {
    const {region} = this.self;
    const regionPeers = members.peerStatuses
      .map(status => status.member)
      .filter(member => member.region === region);
    const previous = this.selection;
    this.selection = decisions.selectReaders(
      previous,
      {
        selfId: members.selfId,
        region,
        serving: members.servingMembers,
        regionVmCount: regionPeers.length + 1,
      },
      this.nowMs(),
    );
    this.receivers = receivers.updateReceivers(this.receivers, regionPeers);
    for (const vmId of this.waitingIds)
      if (!this.receivers.has(vmId)) this.waitingIds.delete(vmId);
    const peerIds = new Set(regionPeers.map(({vmId}) => vmId));
    for (const vmId of this.readers.keys())
      if (!peerIds.has(vmId)) this.readers.delete(vmId);
    const {reading, readerIds} = this.selection;
    if (
      reading.kind !== previous.reading.kind ||
      readerIds.join() !== previous.readerIds.join()
    )
      this.log('info', 'readersChosen', {
        reading: reading.kind,
        readers: readerIds.join(),
      });
    this.updateReading(previous.reading);
  }

  /** Tells the knowledge service how this VM gets its rows, when that has changed. */
  private updateReading(previous = this.selection.reading): void {
    const {reading} = this.selection;
    const isStoreUnavailable = this.isStoreSaidUnavailable();
    if (
      reading.kind === previous.kind &&
      isStoreUnavailable === this.isStoreReportedUnavailable
    )
      return;
    this.isStoreReportedUnavailable = isStoreUnavailable;
    this.getService(knowledgeService.KNOWLEDGE).post({
      kind: 'readingChanged',
      reading,
      isStoreUnavailable,
    });
  }

  /** Whether every reader heard lately says that the store is unavailable. */
  private isStoreSaidUnavailable(): boolean {
    const reports = [...this.readers.values()].filter(
      ({heardAtMs}) => this.nowMs() - heardAtMs < STORE_REPORT_TERM_MS,
    );
    return (
      reports.length > 0 &&
      reports.every(({isStoreAvailable}) => !isStoreAvailable)
    );
  }

  private handleAnnouncement(
    announcement: peers.RowsAnnouncement,
  ): peers.RowsReceipt {
    const nowMs = this.nowMs();
    const {epoch} = this.clock;
    const {readerId, isStoreAvailable} = announcement;
    const followed = decisions.followAnnouncement(
      this.readers.get(readerId)?.followed,
      announcement,
      {epoch, nowMs},
    );
    this.readers.set(readerId, {followed, isStoreAvailable, heardAtMs: nowMs});
    this.updateReading();
    const upstreams = decisions.getUpstreamsClaim(
      followed,
      announcement,
      nowMs,
    );
    const operators = decisions.getOperatorsClaim(
      followed,
      announcement,
      nowMs,
    );
    if (upstreams !== undefined || operators !== undefined)
      this.getService(knowledgeService.KNOWLEDGE).post({
        kind: 'readerRowsReceived',
        readerId,
        upstreams,
        operators,
      });
    return {
      clock: {epoch, atMs: nowMs},
      upstreamStep: followed.step,
      operatorPosition: followed.operatorRows?.position,
    };
  }

  private handleUpstreamRows(
    rows: entry.UpstreamRows,
    currentAtMs: number,
  ): void {
    this.isStoreAvailable = true;
    if (this.selection.reading.kind !== 'reader') return;
    this.stream = decisions.advanceStream(this.stream, rows, currentAtMs);
    this.announce();
  }

  /** Announces the first failure at once, and further ones before receivers forget it. */
  private handleReadFailure(): void {
    const isRepeated = !this.isStoreAvailable;
    this.isStoreAvailable = false;
    const reportDueAtMs = this.announcedAtMs + STORE_REPORT_TERM_MS / 2;
    if (!isRepeated || this.nowMs() >= reportDueAtMs) this.announce();
  }

  private announce(): void {
    if (this.selection.reading.kind !== 'reader') return;
    this.announcedAtMs = this.nowMs();
    for (const vmId of this.receivers.keys()) this.sendTo(vmId);
  }

  private sendTo(vmId: string): void {
    const receiver = this.receivers.get(vmId);
    if (this.isStopped || receiver === undefined) return;
    this.waitingIds.delete(vmId);
    switch (receiver.sending.kind) {
      case 'sending':
        this.setReceiver(vmId, {
          ...receiver,
          sending: {...receiver.sending, isOutdated: true},
        });
        return;
      case 'idle':
        break;
      default:
        errors.throwUnreachable(receiver.sending);
    }
    const announcement = this.buildAnnouncement(receiver);
    const hasAllRows =
      announcement.upstreams?.extent.kind === 'all' ||
      announcement.operators?.rows !== undefined;
    if (hasAllRows && this.getCompleteSendCount() >= MAX_COMPLETE_SENDS) {
      this.waitingIds.add(vmId);
      return;
    }
    this.setReceiver(vmId, {
      ...receiver,
      sending: {kind: 'sending', isComplete: hasAllRows, isOutdated: false},
    });
    this.count('rows_announced');
    const {processId, peersAddress} = receiver;
    const {epoch} = this.clock;
    void this.getService(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress,
        request: {kind: 'announceRows', announcement},
        deadlineMs: this.nowMs() + ANNOUNCEMENT_TIMEOUT_MS,
        reply,
      }))
      .then(result =>
        this.getAddress().post({
          kind: 'announcementEnded',
          vmId,
          processId,
          epoch,
          result,
        }),
      );
  }

  private buildAnnouncement({
    acknowledged,
    operatorPosition,
    echo,
  }: receivers.Receiver): peers.RowsAnnouncement {
    const {stream, operators} = this;
    const isKnown = acknowledged.kind !== 'unknown';
    return {
      readerId: this.self.vmId,
      processId: this.self.processId,
      clock: {epoch: this.clock.epoch, atMs: this.nowMs()},
      echo,
      isStoreAvailable: this.isStoreAvailable,
      upstreams:
        stream === undefined
          ? undefined
          : decisions.getUpstreamsAnnouncement(stream, acknowledged),
      operators:
        operators === undefined
          ? undefined
          : {
              position: operators.rows.position,
              currentAtMs: operators.currentAtMs,
              rows:
                isKnown &&
                !decisions.isSamePosition(
                  operatorPosition,
                  operators.rows.position,
                )
                  ? operators.rows
                  : undefined,
            },
    };
  }

  private handleAnnouncementEnd({
    vmId,
    processId,
    epoch,
    result,
  }: Extract<messages.ReadersMessage, {kind: 'announcementEnded'}>): void {
    const receiver = this.receivers.get(vmId);
    if (
      receiver?.processId === processId &&
      receiver.sending.kind === 'sending'
    ) {
      const {isComplete, isOutdated} = receiver.sending;
      const idle: receivers.Receiver = {...receiver, sending: {kind: 'idle'}};
      const receipt =
        result.kind === 'answered' && result.answer.kind === 'rowsReceived'
          ? result.answer.receipt
          : undefined;
      const updated =
        receipt === undefined
          ? idle
          : receivers.applyReceipt(idle, receipt, this.nowMs());
      this.setReceiver(
        vmId,
        epoch === this.clock.epoch ? updated : {...updated, echo: undefined},
      );
      // A receiver that still lacks rows after they were sent gets them again only with the next announcement.
      const isLacking =
        !isComplete &&
        this.lacksRows(updated) &&
        !receivers.hasSameRows(receiver, updated);
      if (isOutdated || isLacking) this.sendTo(vmId);
    }
    const [next] = this.waitingIds;
    if (next !== undefined) this.sendTo(next);
  }

  private lacksRows({
    acknowledged,
    operatorPosition,
  }: receivers.Receiver): boolean {
    const {stream, operators} = this;
    const lacksUpstreams =
      stream !== undefined &&
      (acknowledged.kind !== 'step' || acknowledged.step !== stream.step);
    return (
      lacksUpstreams ||
      (operators !== undefined &&
        !decisions.isSamePosition(operatorPosition, operators.rows.position))
    );
  }

  private getCompleteSendCount(): number {
    let count = 0;
    for (const {sending} of this.receivers.values())
      if (sending.kind === 'sending' && sending.isComplete) count += 1;
    return count;
  }

  private setReceiver(vmId: string, receiver: receivers.Receiver): void {
    this.receivers = new Map(this.receivers).set(vmId, receiver);
  }
}
