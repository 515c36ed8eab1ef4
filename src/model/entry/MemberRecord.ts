import type * as positions from './StorePosition.js';
import type * as capacities from './VmCapacity.js';

/** The identity, location and addresses of an entry VM, as published to its peers. */
export interface MemberRecord {
  readonly vmId: string;

  /** Identifies the process; every start generates a new identifier. */
  readonly processId: string;

  readonly region: string;
  readonly failureDomain: string;

  /** The address of the listener for callers, as host:port. */
  readonly callersAddress: string;

  /** The address of the listener for peers, as host:port; used for both UDP datagrams and calls. */
  readonly peersAddress: string;

  /**
   * Absent while the VM has not reported it. It is part of neither the VM's row nor its status, because VMs of earlier
   * versions reject records with unknown fields.
   */
  readonly capacity?: capacities.MemberCapacity;
}

/** One VM's use of one organisation's rate limit, or the sum of several VMs' uses. */
export interface LimitUse {
  /** The request rate that the VM's callers demand, in requests per second. */
  readonly demandPerSecond: number;

  /** Requests that the VM admitted within the window of the limits. */
  readonly admittedCount: number;

  /** The admitted requests that fall out of the window within the next second. */
  readonly leavingCount: number;
}

/** One VM's use of the rate limits of all organisations. */
export interface LimitUseReport {
  /** Digest of the sorted identifiers of the rate-limited organisations; `uses` has their order. */
  readonly organisationsDigest: number;

  /** Whether the process has counted requests for at least one full window. */
  readonly isComplete: boolean;

  readonly uses: readonly LimitUse[];

  /** The number of VMs whose uses are added up in `uses`; absent in the report of a single VM. */
  readonly vmCount?: number;
}

/** The number of upstream slots of a service that the requests of one VM's callers occupy. */
export interface ServiceDemand {
  readonly serviceId: string;

  /** Slots occupied by requests that may run in any region. */
  readonly busySlots: number;

  /** Slots occupied by requests that are restricted to certain regions, keyed by the region in which they run. */
  readonly boundSlots: ReadonlyMap<string, number>;
}

/** The status that an entry VM sends to its peers periodically. */
export interface MemberStatus {
  readonly member: MemberRecord;

  /** Whether the process is shutting down and accepts no new callers. */
  readonly isLeaving: boolean;

  /** The position of the store up to which the VM has read the operators' rows. */
  readonly operatorRowsPosition: positions.StorePosition;

  /** The position of the store up to which the VM has read the upstreams' rows. */
  readonly upstreamRowsPosition: positions.StorePosition;

  /**
   * Undefined while the VM has no configuration. Where a collector forwards the statuses of a region, the first of them
   * carry the sums of that region's uses and demands, and the others none.
   */
  readonly limitUseReport: LimitUseReport | undefined;
  readonly serviceDemands: readonly ServiceDemand[];
}
