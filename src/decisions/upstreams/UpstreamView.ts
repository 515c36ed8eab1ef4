import type * as avoidances from './Avoidance.js';

/** The distance of an upstream from the process that chooses: in its failure domain, its region, or another region. */
export type Distance = 'sameDomain' | 'sameRegion' | 'otherRegion';

/** The load that an upstream reported; an estimate that is out of date and can be wrong. */
export interface LoadReport {
  /** Requests from all processes that the upstream was running or queueing. */
  readonly busyCount: number;

  /** Requests of this process to the upstream that were in flight when it requested the report. */
  readonly ownInFlightCount: number;

  /** Monotonic time in milliseconds at which this process requested the report. */
  readonly requestedAtMs: number;
}

/** One upstream as this process sees it, with everything that `chooseUpstream` depends on. */
export interface UpstreamView {
  readonly upstreamId: string;
  readonly region: string;
  readonly distance: Distance;
  readonly slotCount: number;

  /** Requests of this process to the upstream that are in flight. */
  readonly ownInFlightCount: number;

  /** The latest load report, or `undefined` if there is none. */
  readonly report: LoadReport | undefined;

  /** Whether this process avoids the upstream, because of its own earlier requests to it. */
  readonly avoidance: avoidances.Avoidance;

  /**
   * Monotonic time in milliseconds at which the upstream's warm-up started: when it first accepted work, or when it
   * accepted work again after failures.
   */
  readonly warmupStartedAtMs: number;
}
