import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as capacities from './CapacityTable.js';
import type * as messages from './MembersMessage.js';
import type * as presences from './Presence.js';
import type * as followers from './RowFollower.js';
import * as collectors from './StatusCollector.js';

/** What this VM knows of the fleet's VMs: by their rows in the store, their statuses and the bundles of collectors. */
export class MemberDirectory {
  private readonly self: entry.MemberRecord;
  private readonly presence: presences.Presence;
  private readonly rows: followers.RowFollower;
  private readonly capacities: capacities.CapacityTable;
  private readonly collector: collectors.StatusCollector;

  /** Changed in place: a copy for each status of a large fleet would take much of a small VM's processor time. */
  private members = new Map<string, decisions.MemberEntry>();
  private startedAtMs = 0;

  /**
   * @param self This VM's record.
   * @param presence Whether this VM itself accepts callers.
   * @param rows The VMs' rows, as far as they have been read.
   * @param capacityTable The resources that VMs have reported.
   */
  constructor(
    self: entry.MemberRecord,
    presence: presences.Presence,
    rows: followers.RowFollower,
    capacityTable: capacities.CapacityTable,
  ) {
    this.self = self;
    this.presence = presence;
    this.rows = rows;
    this.capacities = capacityTable;
    this.collector = new collectors.StatusCollector(self);
  }

  /** Whether statuses go to other regions through collectors. */
  get isLargeFleet(): boolean {
    return this.collector.isLargeFleet;
  }

  /** Sets the monotonic time in milliseconds at which this VM started, after which peers get time to be heard. */
  setStartedAtMs(startedAtMs: number): void {
    this.startedAtMs = startedAtMs;
  }

  /** Records a status that a peer sent itself; returns what it says beyond the previous one. */
  addStatus(status: entry.MemberStatus, nowMs: number): decisions.StatusNews {
    const previous = this.members.get(status.member.vmId)?.status;
    this.members.set(status.member.vmId, {status, statusReceivedAtMs: nowMs});
    this.collector.addStatus(status, nowMs);
    return decisions.getStatusNews(previous, status);
  }

  /** Records a bundle; returns the identifiers of the VMs whose processes were unknown before. */
  addBundle(bundle: entry.MemberBundle, nowMs: number): readonly string[] {
    const heard = this.collector.addBundle(bundle, nowMs);
    const known = this.members;
    this.members = new Map(decisions.setHeardMembers(known, heard, nowMs));
    const unknownIds: string[] = [];
    for (const {member} of heard) {
      const {vmId, processId, capacity} = member;
      if (this.members.get(vmId) === known.get(vmId)) continue;
      if (capacity !== undefined)
        this.capacities.set({vmId, processId, capacity});
      if (known.get(vmId)?.status.member.processId !== processId)
        unknownIds.push(vmId);
    }
    return unknownIds;
  }

  /**
   * Decides whether collectors are used; they need VMs that report their resources. Returns the number of VMs if that
   * has changed, else undefined.
   */
  updateFleetSize(nowMs: number): number | undefined {
    if (this.capacities.ownReport === undefined) return undefined;
    const heardCount = decisions.getPossiblyServingCount(this.members, nowMs);
    const vmCount = 1 + Math.max(heardCount, this.rows.getPeers(nowMs).length);
    return this.collector.setVmCount(vmCount) ? vmCount : undefined;
  }

  /** Removes the reports of resources by VMs that have sent no status and are in no bundle. */
  removeUnknownReports(): void {
    this.capacities.retain(this.members);
  }

  /** Whether this VM must read the rows itself, rather than learn of VMs by the statuses of those that read them. */
  mustFollowRows(nowMs: number): boolean {
    return (
      !this.rows.hasRows ||
      !this.isLargeFleet ||
      !decisions.isConnected(this.members, nowMs) ||
      decisions.isReader(this.getServingMembers(nowMs), this.self)
    );
  }

  /** Gets every peer that is registered in the store or was heard; a peer may be listed twice. */
  getPeers(nowMs: number): readonly entry.MemberRecord[] {
    const peers = [
      ...this.rows.getPeers(nowMs),
      ...[...this.members.values()].map(({status}) => status.member),
    ];
    return peers.filter(peer => peer.peersAddress !== this.self.peersAddress);
  }

  /** Gets the peers to which this VM sends its status: in a large fleet, to other regions through collectors. */
  getStatusPeers(nowMs: number): readonly entry.MemberRecord[] {
    const peers = this.getPeers(nowMs);
    if (!this.isLargeFleet) return peers;
    return decisions.getStatusTargets(
      peers.map(peer => this.capacities.complete(peer)),
      this.getServingMembers(nowMs),
      this.self.region,
    );
  }

  /** Gets the peers in this VM's region; only their answers to callers name this VM. */
  getRegionPeers(nowMs: number): readonly entry.MemberRecord[] {
    return this.getPeers(nowMs).filter(
      peer => peer.region === this.self.region,
    );
  }

  /** Gets the bundle to send to the VMs of this region; undefined unless this VM is one of the region's collectors. */
  getBundle(nowMs: number): entry.MemberBundle | undefined {
    return this.collector.getBundle(
      this.getServingMembers(nowMs),
      member => this.capacities.complete(member),
      nowMs,
    );
  }

  /** Gets the message for subscribers. */
  getMembersChanged(nowMs: number): messages.MembersChanged {
    return {
      kind: 'membersChanged',
      selfId: this.self.vmId,
      peerStatuses: this.collector.getPeerStatuses(this.members, nowMs),
      servingMembers: this.getServingMembers(nowMs),
      peerCount: this.getPeerCount(nowMs),
      isPeerCountKnown: this.rows.hasRows || this.members.size > 0,
      isConnected: decisions.isConnected(this.members, nowMs),
    };
  }

  /** Gets the VMs that accept callers, with the resources that they have reported. */
  private getServingMembers(nowMs: number): readonly entry.MemberRecord[] {
    const serving = decisions.getServingMembers(this.members, nowMs);
    return (this.presence.isLeaving ? serving : [this.self, ...serving]).map(
      member => this.capacities.complete(member),
    );
  }

  /** Returns how many peers may be serving; after a start, registered peers that have sent no status yet count, too. */
  private getPeerCount(nowMs: number): number {
    const reservedCount = decisions.getPossiblyServingCount(
      this.members,
      nowMs,
    );
    const isStarting = nowMs < this.startedAtMs + decisions.MEMBER_SILENCE_MS;
    const registeredCount = isStarting ? this.rows.getPeers(nowMs).length : 0;
    return Math.max(reservedCount, registeredCount);
  }
}
