/** One entry VM as its peers know it. */
export interface MemberRecord {
  readonly vmId: string;

  /** Names the process; a new one comes with each start. */
  readonly processId: string;

  readonly region: string;
  readonly failureDomain: string;

  /** The callers' listener, as host:port. */
  readonly callersAddress: string;

  /** The peers' listener, as host:port, for datagrams and calls alike. */
  readonly peersAddress: string;
}

/** How much one VM uses of an organisation's limit. */
export interface LimitUse {
  /** What its callers ask for, in requests a second. */
  readonly demandPerSecond: number;

  /** Requests that it admitted within the limits' window. */
  readonly admittedCount: number;

  /** Those of them that leave the window within the next second. */
  readonly leavingCount: number;
}

/** How much one VM uses of all limits. */
export interface LimitUses {
  /** Stands for the identifiers of the limited organisations, in whose order the uses come. */
  readonly organisationsDigest: number;

  /** Whether the process has counted for a whole window. */
  readonly isComplete: boolean;

  readonly uses: readonly LimitUse[];
}

/** How many slots of a service's upstreams a VM's callers keep busy. */
export interface ServiceDemand {
  readonly serviceId: string;

  /** Slots that requests keep busy which may run in any region. */
  readonly busySlots: number;

  /** Slots that requests keep busy which may run in some regions only, by the region in which they run. */
  readonly boundSlots: ReadonlyMap<string, number>;
}

/** What a VM tells its peers again and again. */
export interface MemberStatus {
  readonly member: MemberRecord;

  /** Whether the process takes no new callers. */
  readonly isLeaving: boolean;

  /** The table version up to which it knows the operators' rows. */
  readonly operatorRowsVersion: number;

  /** The table version up to which it knows the upstreams' rows. */
  readonly upstreamRowsVersion: number;

  /** Nothing while it knows no configuration. */
  readonly limitUses: LimitUses | undefined;
  readonly serviceDemands: readonly ServiceDemand[];
}
