const MS_PER_SECOND = 1000;

/** A token bucket's rate in requests per second and its capacity in requests. */
export interface RateLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
}

/**
 * Returns by how many requests the admissions exceed burst + rate x window in the worst time window, or 0.
 * A token bucket that starts full falls below zero exactly when some window exceeds that limit.
 */
export function getRateLimitExcess(
  admittedAtMs: readonly number[],
  limit: RateLimit,
): number {
  const sorted = [...admittedAtMs].sort((a, b) => a - b);
  let level = limit.burst;
  let lastMs = sorted[0] ?? 0;
  let lowestLevel = level;
  for (const atMs of sorted) {
    const refill = ((atMs - lastMs) / MS_PER_SECOND) * limit.ratePerSecond;
    level = Math.min(limit.burst, level + refill) - 1;
    lowestLevel = Math.min(lowestLevel, level);
    lastMs = atMs;
  }
  return Math.max(0, -lowestLevel);
}

/** Returns how many of the arriving requests a single token bucket for the whole fleet would admit. */
export function countIdealAdmissions(
  arrivedAtMs: readonly number[],
  limit: RateLimit,
): number {
  const sorted = [...arrivedAtMs].sort((a, b) => a - b);
  let level = limit.burst;
  let lastMs = sorted[0] ?? 0;
  let admittedCount = 0;
  for (const atMs of sorted) {
    const refill = ((atMs - lastMs) / MS_PER_SECOND) * limit.ratePerSecond;
    level = Math.min(limit.burst, level + refill);
    lastMs = atMs;
    if (level < 1) continue;
    level -= 1;
    admittedCount += 1;
  }
  return admittedCount;
}
