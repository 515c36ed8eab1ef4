import type * as members from './MemberRecord.js';
import type * as positions from './StorePosition.js';

/** A VM that a collector has heard of directly. */
export interface HeardMember {
  readonly member: members.MemberRecord;
  readonly isLeaving: boolean;
  readonly operatorRowsPosition: positions.StorePosition;
  readonly upstreamRowsPosition: positions.StorePosition;

  /** How long before the bundle was sent the VM's status arrived, in milliseconds. */
  readonly ageMs: number;
}

/** What a collector knows of the VMs of one region. */
export interface RegionBundle {
  readonly region: string;
  readonly heard: readonly HeardMember[];

  /** The sums of the uses of the VMs in `heard`: one for each digest of organisations and kind of window. */
  readonly limitUseReports: readonly members.LimitUseReport[];

  /** The sums of the demands of the VMs in `heard`. */
  readonly serviceDemands: readonly members.ServiceDemand[];
}

/** What a collector forwards to the VMs of its region in place of the statuses of the other regions' VMs. */
export interface MemberBundle {
  /** The VM that collected the statuses. */
  readonly collectorId: string;
  readonly regions: readonly RegionBundle[];
}
