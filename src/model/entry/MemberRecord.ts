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

/** How much of an organisation's limit a VM's callers ask for. */
export interface OrganisationDemand {
  readonly organisationId: string;
  readonly ratePerSecond: number;
}

/** How many slots of a service's upstreams a VM's callers keep busy. */
export interface ServiceDemand {
  readonly serviceId: string;
  readonly busySlots: number;
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

  readonly organisationDemands: readonly OrganisationDemand[];
  readonly serviceDemands: readonly ServiceDemand[];
}
