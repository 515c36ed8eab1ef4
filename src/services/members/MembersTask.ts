import * as dgram from 'node:dgram';
import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as store from '../store/index.js';
import type * as messages from './MembersMessage.js';

/** How often in milliseconds subscribers hear who is there; peers hear of this VM as often as demands are told. */
const PUBLISH_INTERVAL_MS = 250;

/** How long in milliseconds one call waits for changes of the VMs' rows: half of what the store allows. */
const FOLLOW_WAIT_MS = 15_000;

/**
 * The least time in milliseconds from one call for the VMs' rows to the next: one call brings all that start together,
 * and a new peer is known well within the bound on configuration.
 */
const FOLLOW_INTERVAL_MS = 1000;

/** Pause in milliseconds after a call that failed while no rows are known. */
const RETRY_MS = 400;

/** Owns the datagram socket on which VMs tell each other of themselves, and knows who is there. */
export class MembersTask extends base.ServiceTask<messages.MembersMessage> {
  private readonly self: entry.MemberRecord;
  private readonly address: entry.SocketAddress;
  private readonly subscribers: kernel.Address<messages.MembersChanged>[] = [];
  private readonly socket = dgram.createSocket('udp4');
  private members: decisions.MemberTable = new Map();
  private registry: decisions.MemberRegistry | undefined;
  private following: decisions.Following = {kind: 'snapshot'};
  private isReading = false;
  private startedAtMs = 0;
  private operatorRowsVersion = 0;
  private upstreamRowsVersion = 0;
  private limitUses: entry.LimitUses | undefined;
  private serviceDemands: readonly entry.ServiceDemand[] = [];
  private removal: Promise<store.StoreWrite> | undefined;
  private isLeaving = false;
  private isStopped = false;

  /**
   * @param self How peers and callers reach this process.
   * @param address Where datagrams come in.
   */
  constructor(self: entry.MemberRecord, address: entry.SocketAddress) {
    super();
    this.self = self;
    this.address = address;
  }

  protected override async onStart(): Promise<void> {
    this.startedAtMs = this.nowMs();
    this.socket.on('message', bytes =>
      this.getAddress().post({kind: 'datagram', bytes}),
    );
    this.socket.on('error', thrown =>
      this.log('warn', 'datagramFailed', {message: thrown.message}),
    );
    await new Promise<void>(resolve =>
      this.socket.bind(this.address.port, this.address.host, resolve),
    );
    const knowledge = this.getService(knowledgeService.KNOWLEDGE);
    const subscriber = this.getAddress();
    knowledge.post({kind: 'subscribeOperatorRows', subscriber});
    knowledge.post({kind: 'subscribeUpstreamRows', subscriber});
    this.postEvery(PUBLISH_INTERVAL_MS, {kind: 'tick'});
    this.getAddress().post({kind: 'register'});
  }

  protected override async onStop(): Promise<void> {
    this.isStopped = true;
    await this.remove();
    this.sendStatus();
    await new Promise<void>(resolve => this.socket.close(() => resolve()));
  }

  protected override receive(message: messages.MembersMessage): void {
    switch (message.kind) {
      case 'subscribe':
        this.subscribers.push(message.subscriber);
        this.publish();
        return;
      case 'operatorRowsChanged':
        this.operatorRowsVersion = message.rows.tableVersion;
        return;
      case 'upstreamRowsChanged':
        this.upstreamRowsVersion = message.tableVersion;
        return;
      case 'tellLimitUses':
        this.limitUses = message.limitUses;
        this.sendStatus();
        return;
      case 'setServiceDemands':
        this.serviceDemands = message.demands;
        return;
      case 'datagram':
        this.noteDatagram(message.bytes);
        return;
      case 'register':
        this.register();
        return;
      case 'registered':
        this.noteRegistration(message.write);
        return;
      case 'readMembers':
        this.readMembers();
        return;
      case 'membersRead':
        this.noteMembersRead(message.reading, message.sentAtMs);
        return;
      case 'tick':
        this.publish();
        return;
      case 'leave':
        this.isLeaving = true;
        // At the end of the stop the store's answer might take longer than is left of the grace period.
        void this.remove();
        this.sendStatus();
        this.publish();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private register(): void {
    if (this.isLeaving || this.isStopped) return;
    void this.getService(store.STORE)
      .ask<store.StoreWrite>(reply => ({
        kind: 'writeMember',
        member: this.self,
        reply,
      }))
      .then(write => this.getAddress().post({kind: 'registered', write}));
  }

  /** Removes this VM's row, once. */
  private async remove(): Promise<void> {
    this.removal ??= this.getService(store.STORE).ask<store.StoreWrite>(
      reply => ({kind: 'removeMember', vmId: this.self.vmId, reply}),
    );
    await this.removal;
  }

  private noteRegistration(write: store.StoreWrite): void {
    switch (write.kind) {
      case 'written':
        this.readMembers();
        return;
      case 'unavailable':
        this.postAfter(RETRY_MS, {kind: 'register'});
        return;
      default:
        errors.throwUnreachable(write);
    }
  }

  /** Reads the VMs' rows, or waits for their changes: a VM that cannot read them is told by those that can. */
  private readMembers(): void {
    if (this.isStopped || this.isReading) return;
    this.isReading = true;
    const sentAtMs = this.nowMs();
    const {following} = this;
    void this.getService(store.STORE)
      .ask<store.MemberReading>(reply => {
        switch (following.kind) {
          case 'snapshot':
            return {kind: 'readMembers', reply};
          case 'changes':
            return {
              kind: 'awaitMembers',
              afterTableVersion: following.afterTableVersion,
              waitMs: FOLLOW_WAIT_MS,
              reply,
            };
        }
      })
      .then(reading =>
        this.getAddress().post({kind: 'membersRead', reading, sentAtMs}),
      );
  }

  private noteMembersRead(
    reading: store.MemberReading,
    sentAtMs: number,
  ): void {
    this.isReading = false;
    switch (reading.kind) {
      case 'snapshot': {
        const {tableVersion, members} = reading;
        this.setRegistry({
          tableVersion,
          members: new Map(members.map(member => [member.vmId, member])),
        });
        break;
      }
      case 'changes': {
        const {tableVersion, changes} = reading;
        // An empty wait may have missed a change, which the next one then brings.
        if (this.registry !== undefined && changes.length > 0)
          this.setRegistry(
            decisions.applyMemberChanges(this.registry, tableVersion, changes),
          );
        break;
      }
      case 'historyGone':
      case 'unavailable':
        this.following = {kind: 'snapshot'};
        break;
      default:
        errors.throwUnreachable(reading);
    }
    const pauseMs = this.registry === undefined ? RETRY_MS : FOLLOW_INTERVAL_MS;
    this.postAfter(Math.max(0, sentAtMs + pauseMs - this.nowMs()), {
      kind: 'readMembers',
    });
  }

  private setRegistry(registry: decisions.MemberRegistry): void {
    this.registry = registry;
    this.following = {
      kind: 'changes',
      afterTableVersion: registry.tableVersion,
    };
    this.sendStatus();
  }

  private getRegisteredPeers(): readonly entry.MemberRecord[] {
    return [...(this.registry?.members.values() ?? [])].filter(
      member => member.vmId !== this.self.vmId,
    );
  }

  /** Tells every peer that is registered or was heard of itself. */
  private sendStatus(): void {
    if (this.isStopped && !this.isLeaving) return;
    const targets = new Set(
      this.getRegisteredPeers().map(peer => peer.peersAddress),
    );
    for (const {status} of this.members.values())
      targets.add(status.member.peersAddress);
    targets.delete(this.self.peersAddress);
    if (targets.size === 0) return;
    const bytes = codecs.encodeMemberStatus(this.getStatus());
    for (const target of targets) {
      const {host, port} = codecs.parseSocketAddress(target);
      this.socket.send(bytes, port, host, thrown => {
        if (thrown) this.count('datagrams_failed');
      });
    }
  }

  private getStatus(): entry.MemberStatus {
    return {
      member: this.self,
      isLeaving: this.isLeaving,
      operatorRowsVersion: this.operatorRowsVersion,
      upstreamRowsVersion: this.upstreamRowsVersion,
      limitUses: this.limitUses,
      serviceDemands: this.serviceDemands,
    };
  }

  private noteDatagram(bytes: Uint8Array): void {
    let status: entry.MemberStatus;
    try {
      status = codecs.decodeMemberStatus(bytes);
    } catch (thrown) {
      const {message} = errors.toError(thrown);
      this.log('warn', 'datagramUnreadable', {message});
      return;
    }
    const {vmId} = status.member;
    if (vmId === this.self.vmId) return;
    const known = this.members.get(vmId);
    const isNew =
      known?.status.member.processId !== status.member.processId ||
      known.status.isLeaving !== status.isLeaving;
    this.members = decisions.addStatus(this.members, status, this.nowMs());
    if (!isNew) return;
    this.log('info', 'memberHeard', {peer: vmId, leaving: status.isLeaving});
    if (known === undefined) this.sendStatus();
    this.publish();
  }

  private publish(): void {
    const nowMs = this.nowMs();
    const serving = decisions.getServingMembers(this.members, nowMs);
    const message: messages.MembersChanged = {
      kind: 'membersChanged',
      selfId: this.self.vmId,
      statuses: [...this.members.values()]
        .filter(known => nowMs - known.heardAtMs < decisions.MEMBER_SILENCE_MS)
        .map(known => known.status),
      serving: this.isLeaving ? serving : [this.self, ...serving],
      otherCount: this.getOtherCount(nowMs),
      areOthersKnown: this.registry !== undefined || this.members.size > 0,
      isConnected: decisions.isConnected(this.members, nowMs),
    };
    for (const subscriber of this.subscribers) subscriber.post(message);
  }

  /** Gets how many peers may be serving; after a start, those that were not heard yet as well. */
  private getOtherCount(nowMs: number): number {
    const reservedCount = decisions.getReservedCount(this.members, nowMs);
    const isYoung = nowMs < this.startedAtMs + decisions.MEMBER_SILENCE_MS;
    const registeredCount = isYoung ? this.getRegisteredPeers().length : 0;
    return Math.max(reservedCount, registeredCount);
  }

  private postAfter(delayMs: number, message: messages.MembersMessage): void {
    if (this.isStopped) return;
    this.getContext().timers.after(delayMs, () =>
      this.getAddress().post(message),
    );
  }
}
