/** How many requests one sender made lately and in the long run; the counts decay. */
export interface RequestRate {
  readonly recentCount: number;
  readonly usualCount: number;
  readonly startedAtMs: number;
  readonly countedAtMs: number;
}

/** The time in milliseconds over which the recent rate is averaged: short compared to a burst. */
const RECENT_MS = 2000;

/** The time in milliseconds over which the usual rate is averaged: long compared to a burst. */
const USUAL_MS = 60_000;

/** How many times its usual rate a sender reaches by ordinary bursts of one kind of request. */
const ORDINARY_RATIO = 1.5;

/** Returns the rate after a further request at the monotonic time `nowMs`. */
export function addRequest(
  rate: RequestRate | undefined,
  nowMs: number,
): RequestRate {
  if (rate === undefined)
    return {
      recentCount: 1,
      usualCount: 1,
      startedAtMs: nowMs,
      countedAtMs: nowMs,
    };
  const elapsedMs = nowMs - rate.countedAtMs;
  return {
    recentCount: rate.recentCount * Math.exp(-elapsedMs / RECENT_MS) + 1,
    usualCount: rate.usualCount * Math.exp(-elapsedMs / USUAL_MS) + 1,
    startedAtMs: rate.startedAtMs,
    countedAtMs: nowMs,
  };
}

/**
 * Gets the part of the wait in queues that a sender's requests are granted: less than 1 while it sends more than 1.5
 * times its usual rate. Handles organisations that send many times their usual rate and would fill the queues of all others.
 */
export function getWaitPart(rate: RequestRate | undefined): number {
  if (rate === undefined) return 1;
  const ageMs = rate.countedAtMs - rate.startedAtMs;
  // A few requests in a row are no sign of a higher rate: the standard deviation of the count is subtracted.
  const surelyCount = rate.recentCount - Math.sqrt(rate.recentCount);
  const recentRate = surelyCount / getWindowMs(RECENT_MS, ageMs);
  const usualRate = rate.usualCount / getWindowMs(USUAL_MS, ageMs);
  return Math.min(
    1,
    (ORDINARY_RATIO * usualRate) / Math.max(recentRate, Number.EPSILON),
  );
}

/** Gets the time that a decaying count of a given age stands for. */
function getWindowMs(averagedMs: number, ageMs: number): number {
  return averagedMs * (1 - Math.exp(-Math.max(1, ageMs) / averagedMs));
}
