/** A customer and its rate limit. */
export interface Organisation {
  /** The display name. */
  readonly name: string;

  /** The rate limit in requests per second, summed over all VMs. */
  readonly ratePerSecond: number;

  /** The burst size in requests after an idle period, summed over all VMs. */
  readonly burstRequests: number;
}
