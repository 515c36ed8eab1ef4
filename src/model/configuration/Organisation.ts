/** A tenant with its share of the fleet. */
export interface Organisation {
  /** A name for people. */
  readonly name: string;

  /** Requests a second, over all VMs together. */
  readonly ratePerSecond: number;

  /** Requests that may come at once after a quiet time, over all VMs together. */
  readonly burstRequests: number;
}
