import * as weights from './reportWeight.js';

/** What is known of how fast an upstream works now. */
export interface SpeedEstimate {
  /** The average factor by which work takes longer than usual; 1 as usual, 2.5 when it takes 2.5 times as long. */
  readonly slowdown: number;

  /** Monotonic time in milliseconds of the latest report. */
  readonly reportedAtMs: number;
}

/** The estimate for an upstream that has reported nothing. */
export const USUAL_SPEED: SpeedEstimate = {
  slowdown: 1,
  reportedAtMs: -Infinity,
};

/**
 * Adds a report to an estimate. The reports are averaged with the time constant `averagingMs`, the time that a request
 * takes: a request that is sent now runs at the speeds of that time, not only at the speed of its start.
 */
export function addSpeedReport(
  estimate: SpeedEstimate,
  slowdown: number,
  averagingMs: number,
  nowMs: number,
): SpeedEstimate {
  const elapsedMs = Math.max(0, nowMs - estimate.reportedAtMs);
  const weight = 1 - Math.exp(-elapsedMs / Math.max(1, averagingMs));
  return {
    slowdown: estimate.slowdown + (slowdown - estimate.slowdown) * weight,
    reportedAtMs: nowMs,
  };
}

/**
 * Gets the speed of an upstream: 1 as usual, 0.4 when work takes 2.5 times as long. It returns to 1 while no further
 * report arrives, with the same weights as the reported number of busy slots.
 */
export function getSpeed(estimate: SpeedEstimate, nowMs: number): number {
  const weight = weights.getReportWeight(nowMs - estimate.reportedAtMs);
  return 1 / (1 + (estimate.slowdown - 1) * weight);
}
