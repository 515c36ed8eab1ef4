import * as dgram from 'node:dgram';
import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as store from '../store/index.js';
import * as capacities from './CapacityTable.js';
import * as heardPeers from './HeardPeers.js';
import * as leavingStarts from './LeavingStarts.js';
import * as directories from './MemberDirectory.js';
import type * as messages from './MembersMessage.js';
import * as subscribers from './MembersSubscribers.js';
import * as ownRows from './OwnRow.js';
import * as ownStatuses from './OwnStatus.js';
import * as senders from './PeerSender.js';
import * as presences from './Presence.js';
import * as followers from './RowFollower.js';

/**
 * The interval in milliseconds at which subscribers receive the members. Peers receive this VM's status at another
 * interval, with each `publishLimitUses` message.
 */
const PUBLISH_INTERVAL_MS = 250;

/**
 * In a large fleet, only every second periodic publication is made: each takes time in proportion to the number of VMs on
 * every VM. With one a second, a VM whose rows are late could ask a peer for newer ones too late for the bound on leaving.
 */
const LARGE_FLEET_PUBLISH_TICKS = 2;

/**
 * How long a peer that joins or leaves waits to be published, so that peers that are heard together are published
 * together. A publication takes the longer the more peers there are.
 */
const PUBLISH_DELAY_MS = 20;

/**
 * Owns the datagram socket on which VMs exchange their statuses, registers this VM in the store, and publishes to
 * subscribers which VMs are running.
 */
export class MembersTask extends base.ServiceTask<messages.MembersMessage> {
  private readonly self: entry.MemberRecord;
  private readonly address: entry.SocketAddress;
  private readonly socket = dgram.createSocket('udp4');
  private readonly subscribers = new subscribers.MembersSubscribers();
  private readonly presence = new presences.Presence();
  private readonly ownStatus: ownStatuses.OwnStatus;
  private readonly ownRow: ownRows.OwnRow;
  private readonly rows: followers.RowFollower;
  private readonly capacities: capacities.CapacityTable;
  private readonly directory: directories.MemberDirectory;
  private readonly sender: senders.PeerSender;
  private readonly heardPeers = new heardPeers.HeardPeers();
  private timeline: entry.StoreTimeline | undefined;
  private hasRegistered = false;
  private isPublicationDue = false;
  private tickCount = 0;
  private readonly leavingStarts = new leavingStarts.LeavingStarts();

  /**
   * @param self This VM's record, with the addresses at which peers and callers reach this process.
   * @param address The address on which this process receives datagrams.
   * @param capacity This VM's resources; undefined where the platform does not state them.
   */
  constructor(
    self: entry.MemberRecord,
    address: entry.SocketAddress,
    capacity?: entry.VmCapacity,
  ) {
    super();
    this.self = self;
    this.address = address;
    this.ownStatus = new ownStatuses.OwnStatus(self, this.presence);
    this.ownRow = new ownRows.OwnRow(self);
    this.rows = new followers.RowFollower(self.vmId);
    this.capacities = new capacities.CapacityTable(self, capacity);
    this.directory = new directories.MemberDirectory(
      self,
      this.presence,
      this.rows,
      this.capacities,
    );
    this.sender = new senders.PeerSender(
      this.directory,
      this.presence,
      this.ownStatus,
      (bytes, peersAddress) => this.sendDatagram(bytes, peersAddress),
    );
  }

  protected override async onStart(): Promise<void> {
    this.directory.setStartedAtMs(this.nowMs());
    this.sender.start(this.getContext());
    this.socket.on('message', bytes =>
      this.getAddress().post({kind: 'datagram', bytes}),
    );
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.address.port, this.address.host, () => {
        this.socket.off('error', reject);
        resolve();
      });
    });
    this.socket.on('error', thrown =>
      this.log('warn', 'datagramFailed', {message: thrown.message}),
    );
    const knowledge = this.getService(knowledgeService.KNOWLEDGE);
    const subscriber = this.getAddress();
    knowledge.post({kind: 'subscribeOperatorRows', subscriber});
    knowledge.post({kind: 'subscribeUpstreamRows', subscriber});
    this.postEvery(PUBLISH_INTERVAL_MS, {kind: 'tick'});
    this.getAddress().post({kind: 'register'});
  }

  protected override async onStop(): Promise<void> {
    const {removed, deadlineMs} = this.removeRow();
    this.presence.beginStop();
    // A datagram that is sent right before the socket closes is lost.
    this.sender.sendStatus();
    await Promise.race([removed, this.waitUntil(deadlineMs)]);
    this.presence.endStop();
    await new Promise<void>(resolve => this.socket.close(() => resolve()));
  }

  protected override receive(message: messages.MembersMessage): void {
    switch (message.kind) {
      case 'subscribe':
        this.subscribers.add(message);
        this.publish();
        return;
      case 'subscribeLeavingUpstreams':
      case 'subscribeSuspects':
        this.subscribers.add(message);
        return;
      case 'announceSuspects':
        this.sender.announceSuspects(message.suspects);
        return;
      case 'announceLeavingUpstream':
        this.leavingStarts.add(message.start, this.nowMs());
        this.sender.announceLeaving({kind: 'all'}, message.start);
        return;
      case 'operatorRowsChanged':
        this.ownStatus.setOperatorRowsPosition(message.rows.position);
        this.noticeTimeline(message.rows.position);
        return;
      case 'upstreamRowsChanged':
        this.ownStatus.setUpstreamRowsPosition(message.position);
        this.noticeTimeline(message.position);
        return;
      case 'publishLimitUses':
        this.ownStatus.setLimitUseReport(message.limitUseReport);
        this.updateFleetSize();
        this.sender.sendStatus();
        this.updateCapacity();
        this.sendBundle();
        return;
      case 'setServiceDemands':
        this.ownStatus.setServiceDemands(message.demands);
        return;
      case 'datagram':
        this.handleDatagram(message.bytes);
        return;
      case 'register':
        this.register();
        return;
      case 'registrationResult':
        this.handleRegistrationResult(message.result);
        return;
      case 'readMembers':
        this.readMembers();
        return;
      case 'membersRead':
        this.handleReadResult(message.result, message.sentAtMs);
        return;
      case 'tick':
        this.tickCount += 1;
        if (
          !this.directory.isLargeFleet ||
          this.tickCount % LARGE_FLEET_PUBLISH_TICKS === 0
        )
          this.publish();
        return;
      case 'publish':
        this.publish();
        return;
      case 'leave':
        if (!this.presence.isRunning) return;
        this.presence.leave();
        // The row is removed already now: at the end of the shutdown, too little of the grace period might be left for
        // the store to answer.
        this.removeRow();
        this.sender.sendStatus();
        this.publish();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  /** Writes this VM's row again once the store has returned from an older copy, which may lack it. */
  private noticeTimeline({timeline}: entry.StorePosition): void {
    const known = this.timeline;
    // The two kinds of rows reach a new timeline one after the other.
    if (
      known !== undefined &&
      decisions.compareTimelines(timeline, known) !== 'newer'
    )
      return;
    this.timeline = timeline;
    if (known === undefined) return;
    this.rows.requireSnapshot();
    this.register();
  }

  private register(): void {
    if (this.presence.isLeaving) return;
    this.ownRow.write(this.getService(store.STORE), result =>
      this.getAddress().post({kind: 'registrationResult', result}),
    );
  }

  private removeRow(): ownRows.RowRemoval {
    return this.ownRow.remove(this.getService(store.STORE), this.nowMs());
  }

  private handleRegistrationResult(result: store.StoreWriteResult): void {
    switch (result.kind) {
      case 'written':
        if (!this.hasRegistered) this.readMembers();
        this.hasRegistered = true;
        return;
      case 'unavailable':
        this.postAfter(followers.RETRY_DELAY_MS, {kind: 'register'});
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  /**
   * Requests all VMs' rows from the store, or a change of them, unless others of the region follow them. A VM that
   * cannot read the rows discovers its peers by the statuses that they send.
   */
  private readMembers(): void {
    if (!this.presence.isRunning || this.rows.isReadPending) return;
    const sentAtMs = this.nowMs();
    if (!this.directory.mustFollowRows(sentAtMs)) {
      this.rows.pause(sentAtMs);
      this.postAfter(followers.MIN_FOLLOW_INTERVAL_MS, {kind: 'readMembers'});
      return;
    }
    void this.getService(store.STORE)
      .ask<store.MemberReadResult>(reply => this.rows.startRead(reply))
      .then(result =>
        this.getAddress().post({kind: 'membersRead', result, sentAtMs}),
      );
  }

  private handleReadResult(
    result: store.MemberReadResult,
    sentAtMs: number,
  ): void {
    if (this.rows.endRead(result)) {
      this.updateFleetSize();
      this.sender.sendStatus();
    }
    const readAtMs = this.rows.getNextReadAtMs(sentAtMs);
    this.postAfter(Math.max(0, readAtMs - this.nowMs()), {kind: 'readMembers'});
  }

  /** Decides whether collectors are used. */
  private updateFleetSize(): void {
    const vmCount = this.directory.updateFleetSize(this.nowMs());
    if (vmCount === undefined) return;
    const {isLargeFleet} = this.directory;
    this.log('info', 'collectorsUsed', {used: isLargeFleet, vmCount});
    // Peers send through collectors only to VMs whose resources they know.
    if (isLargeFleet)
      this.sender.sendCapacity({kind: 'all'}, this.capacities.ownReport);
  }

  /** Forwards the other regions' statuses to the VMs of this region if this VM is one of its collectors. */
  private sendBundle(): void {
    if (this.presence.isLeaving) return;
    const bundle = this.directory.getBundle(this.nowMs());
    if (bundle === undefined) return;
    this.count('bundles_sent');
    this.sender.sendBundle(bundle);
  }

  /** Measures this VM's load, and reports its resources when the load has changed or a report is due. */
  private updateCapacity(): void {
    const hasChanged = this.capacities.measure(
      process.cpuUsage(),
      this.nowMs(),
    );
    const isDue = this.capacities.countStatus();
    const report = this.capacities.ownReport;
    if (hasChanged)
      this.log('info', 'memberLoadChanged', {
        busy: report?.capacity.isBusy ?? false,
      });
    if (!hasChanged && !isDue) return;
    this.sender.sendCapacity(
      {kind: this.directory.isLargeFleet ? 'statusPeers' : 'region'},
      report,
    );
  }

  private sendDatagram(bytes: Uint8Array, peersAddress: string): void {
    const {host, port} = codecs.parseSocketAddress(peersAddress);
    this.socket.send(bytes, port, host, thrown => {
      if (thrown) this.count('datagrams_failed');
    });
  }

  private handleDatagram(bytes: Uint8Array): void {
    let datagram: codecs.MemberDatagram;
    try {
      datagram = codecs.decodeMemberDatagram(bytes);
    } catch (thrown) {
      const {message} = errors.toError(thrown);
      this.log('warn', 'datagramUnreadable', {message});
      return;
    }
    switch (datagram.kind) {
      case 'status':
        this.handleStatus(datagram.status);
        return;
      case 'upstreamLeaving':
        this.leavingStarts.add(datagram.start, this.nowMs());
        this.subscribers.publish(datagram);
        return;
      case 'suspects':
        this.subscribers.publish({
          kind: 'suspectsAnnounced',
          suspects: datagram.suspects,
        });
        return;
      case 'capacity':
        this.capacities.set(datagram.report);
        return;
      case 'bundle':
        this.handleBundle(datagram.bundle);
        return;
      default:
        errors.throwUnreachable(datagram);
    }
  }

  private handleStatus(status: entry.MemberStatus): void {
    const {vmId} = status.member;
    if (vmId === this.self.vmId) return;
    const news = this.directory.addStatus(status, this.nowMs());
    if (news.kind === 'unchanged') return;
    this.heardPeers.add({vmId, isLeaving: status.isLeaving});
    switch (news.kind) {
      case 'unknownVm':
        this.sender.greet(status.member);
        this.informStarted(status.member);
        break;
      case 'otherProcess':
        this.informStarted(status.member);
        break;
      case 'leavingChanged':
        break;
      default:
        errors.throwUnreachable(news);
    }
    this.publishSoon();
  }

  private handleBundle(bundle: entry.MemberBundle): void {
    const {collectorId} = bundle;
    for (const vmId of this.directory.addBundle(bundle, this.nowMs()))
      this.heardPeers.add({vmId, isLeaving: false, collectorId});
  }

  /** Tells a process that has started this VM's resources, and which upstreams leave; their rows may not say so. */
  private informStarted(member: entry.MemberRecord): void {
    if (member.region === this.self.region || this.directory.isLargeFleet)
      this.sender.sendCapacity(
        {kind: 'one', member},
        this.capacities.ownReport,
      );
    for (const start of this.leavingStarts.getAll(this.nowMs()))
      this.sender.announceLeaving({kind: 'one', member}, start);
  }

  private publishSoon(): void {
    if (this.isPublicationDue) return;
    this.isPublicationDue = true;
    this.postAfter(PUBLISH_DELAY_MS, {kind: 'publish'});
  }

  private publish(): void {
    this.isPublicationDue = false;
    this.heardPeers.log((name, fields) => this.log('info', name, fields));
    this.directory.removeUnknownReports();
    this.subscribers.publish(this.directory.getMembersChanged(this.nowMs()));
  }

  private waitUntil(atMs: number): Promise<void> {
    return new Promise(resolve => {
      const delayMs = Math.max(0, atMs - this.nowMs());
      this.getContext().timers.after(delayMs, resolve);
    });
  }

  private postAfter(delayMs: number, message: messages.MembersMessage): void {
    if (!this.presence.isRunning) return;
    this.getContext().timers.after(delayMs, () =>
      this.getAddress().post(message),
    );
  }
}
