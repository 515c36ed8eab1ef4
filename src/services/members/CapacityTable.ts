import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

const MICROSECONDS_PER_MS = 1000;

/** A VM reports its resources with every fifth status: they don't change, and its load changes seldom. */
const CAPACITY_INTERVAL_COUNT = 5;

/** The resources and loads that VMs have reported, and the measurement of this VM's own. */
export class CapacityTable {
  private readonly self: entry.MemberRecord;
  private readonly ownCapacity: entry.VmCapacity | undefined;
  private readonly reports = new Map<string, entry.CapacityReport>();
  private busyState = decisions.IDLE_STATE;
  private measuredAtMs: number | undefined;
  private usedMs = 0;

  /** The number of statuses that this VM has sent periodically. */
  private statusCount = 0;

  /** @param ownCapacity This VM's resources; undefined where the platform does not state them. */
  constructor(
    self: entry.MemberRecord,
    ownCapacity: entry.VmCapacity | undefined,
  ) {
    this.self = self;
    this.ownCapacity = ownCapacity;
  }

  /** This VM's resources and load; undefined where the platform does not state the resources. */
  get ownReport(): entry.CapacityReport | undefined {
    if (this.ownCapacity === undefined) return undefined;
    const {vmId, processId} = this.self;
    const {isBusy} = this.busyState;
    return {vmId, processId, capacity: {...this.ownCapacity, isBusy}};
  }

  /** Measures this VM's use of its processors since the last call; returns whether it became or ceased to be busy. */
  measure(usage: NodeJS.CpuUsage, nowMs: number): boolean {
    if (this.ownCapacity === undefined) return false;
    const usedMs = (usage.user + usage.system) / MICROSECONDS_PER_MS;
    const wasBusy = this.busyState.isBusy;
    if (this.measuredAtMs !== undefined)
      this.busyState = decisions.updateBusyState(
        this.busyState,
        usedMs - this.usedMs,
        nowMs - this.measuredAtMs,
        this.ownCapacity.processorCount,
      );
    this.measuredAtMs = nowMs;
    this.usedMs = usedMs;
    return this.busyState.isBusy !== wasBusy;
  }

  /** Counts a periodic status; returns whether this VM's resources are due to be reported with it. */
  countStatus(): boolean {
    const isDue = this.statusCount % CAPACITY_INTERVAL_COUNT === 0;
    this.statusCount += 1;
    return isDue;
  }

  /** Records what a peer reported. */
  set(report: entry.CapacityReport): void {
    this.reports.set(report.vmId, report);
  }

  /** Removes the reports of the VMs that are not among `vmIds`. */
  retain(vmIds: ReadonlyMap<string, unknown>): void {
    for (const vmId of this.reports.keys())
      if (!vmIds.has(vmId)) this.reports.delete(vmId);
  }

  /** Adds to a record what its process has reported, if anything. */
  complete(member: entry.MemberRecord): entry.MemberRecord {
    const report =
      member.vmId === this.self.vmId
        ? this.ownReport
        : this.reports.get(member.vmId);
    return report?.processId === member.processId
      ? {...member, capacity: report.capacity}
      : member;
  }
}
