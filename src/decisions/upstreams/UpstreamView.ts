import type * as avoidances from './Avoidance.js';

/** How far an upstream is from the deciding process. */
export type Distance = 'sameDomain' | 'sameRegion' | 'otherRegion';

/** An upstream's load report; a hint that lags and can mislead. */
export interface LoadReport {
  /** Requests that it was running or queueing, for everyone. */
  readonly busyCount: number;

  /** Requests of this process that were in flight when the report was asked for. */
  readonly ownInFlightCount: number;

  /** Monotonic time in milliseconds at which the report was asked for. */
  readonly askedAtMs: number;
}

/** All that a choice needs to know of one upstream. */
export interface UpstreamView {
  readonly upstreamId: string;
  readonly region: string;
  readonly distance: Distance;
  readonly slotCount: number;

  /** Requests of this process in flight. */
  readonly ownInFlightCount: number;

  readonly report: LoadReport | undefined;

  /** Whether it is left out, after what this process saw there. */
  readonly avoidance: avoidances.Avoidance;

  /** Monotonic time in milliseconds at which it was first seen to take work. */
  readonly warmingSinceMs: number;
}
