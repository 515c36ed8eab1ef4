/** The shares of one service's objects by region, and the capacity for which they were decided. */
export interface StoredShares {
  readonly serviceId: string;

  /** The fraction of the objects that each region's upstreams serve. */
  readonly shares: ReadonlyMap<string, number>;

  /** The slot count of each region's upstreams. */
  readonly capacities: ReadonlyMap<string, number>;
}

/** The row in which the shares of one region's callers outlast a restart of all VMs. */
export interface PlacementRow {
  /** The region of the callers. */
  readonly region: string;
  readonly services: readonly StoredShares[];
}
