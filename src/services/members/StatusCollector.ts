import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

/** How long a status or a bundle is kept, in milliseconds: longer than any decision uses it. */
const RETENTION_MS = 10_000;

/** The statuses that arrived directly and the bundles of collectors, in a fleet that is large enough for collectors. */
export class StatusCollector {
  private readonly self: entry.MemberRecord;
  private readonly directs = new Map<string, decisions.MemberEntry>();
  private readonly bundles = new Map<string, decisions.ReceivedBundle>();
  private isLarge = false;

  constructor(self: entry.MemberRecord) {
    this.self = self;
  }

  /** Whether statuses go to other regions through collectors. */
  get isLargeFleet(): boolean {
    return this.isLarge;
  }

  /** Decides by the number of VMs whether collectors are used; returns whether that has changed. */
  setVmCount(vmCount: number): boolean {
    const wasLarge = this.isLarge;
    this.isLarge = decisions.isLargeFleet(wasLarge, vmCount);
    return this.isLarge !== wasLarge;
  }

  /** Records a status that its VM sent to this VM. */
  addStatus(status: entry.MemberStatus, nowMs: number): void {
    this.directs.set(status.member.vmId, {status, statusReceivedAtMs: nowMs});
  }

  /** Records a bundle; returns the VMs of other regions that it names. */
  addBundle(
    bundle: entry.MemberBundle,
    nowMs: number,
  ): readonly entry.HeardMember[] {
    this.bundles.set(bundle.collectorId, {bundle, receivedAtMs: nowMs});
    return bundle.regions
      .filter(({region}) => region !== this.self.region)
      .flatMap(({heard}) => heard);
  }

  /**
   * Gets the bundle to send to the VMs of this region; undefined unless this VM is one of the region's collectors.
   *
   * @param serving The VMs that accept callers, with their resources.
   * @param complete Adds to a record the resources that its VM has reported.
   */
  getBundle(
    serving: readonly entry.MemberRecord[],
    complete: (member: entry.MemberRecord) => entry.MemberRecord,
    nowMs: number,
  ): entry.MemberBundle | undefined {
    if (!this.isLarge) return undefined;
    const {region, vmId} = this.self;
    const collectors = decisions.getCollectors(serving, region);
    if (!collectors.some(collector => collector.vmId === vmId))
      return undefined;
    const bundle = decisions.collectBundle(this.self, this.directs, nowMs);
    if (bundle.regions.length === 0) return undefined;
    return {
      ...bundle,
      regions: bundle.regions.map(part => ({
        ...part,
        heard: part.heard.map(vm => ({...vm, member: complete(vm.member)})),
      })),
    };
  }

  /** Gets the recent statuses of the peers, in which the uses and demands of each VM are counted once. */
  getPeerStatuses(
    members: decisions.MemberTable,
    nowMs: number,
  ): readonly entry.MemberStatus[] {
    const oldestMs = nowMs - RETENTION_MS;
    for (const [vmId, {statusReceivedAtMs}] of this.directs)
      if (statusReceivedAtMs < oldestMs) this.directs.delete(vmId);
    for (const [collectorId, {receivedAtMs}] of this.bundles)
      if (receivedAtMs < oldestMs) this.bundles.delete(collectorId);
    const {directs} = this;
    const bundles = [...this.bundles.values()];
    return decisions.getPeerStatuses(
      {members, directs, bundles},
      this.self.region,
      nowMs,
    );
  }
}
