/**
 * One VM's token bucket for the request rate of a cold upstream, that is, one that has just started. All VMs have an
 * equal share of that rate and do not coordinate: each starts with a random fraction of a token, so that their sends
 * are staggered and together keep to the rate.
 */
export interface ColdStartBucket {
  /** The number of requests that this VM may send now; it can be fractional. */
  readonly tokens: number;

  /** Monotonic time in milliseconds at which `tokens` was calculated. */
  readonly updatedAtMs: number;
}

/** The capacity of the bucket, which limits the burst of one VM. */
const MAX_TOKENS = 1;

const MS_PER_SECOND = 1000;

/** Creates the bucket for an upstream that has just become cold; `random` is at least 0 and below 1. */
export function createColdStartBucket(
  random: number,
  nowMs: number,
): ColdStartBucket {
  return {tokens: random * MAX_TOKENS, updatedAtMs: nowMs};
}

/** Refills a bucket until the monotonic time `nowMs`; `ratePerSecond` is this VM's share of the rate. */
export function refillColdStartBucket(
  bucket: ColdStartBucket,
  ratePerSecond: number,
  nowMs: number,
): ColdStartBucket {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const tokens = Math.min(
    MAX_TOKENS,
    bucket.tokens + (ratePerSecond * elapsedMs) / MS_PER_SECOND,
  );
  return {tokens, updatedAtMs: nowMs};
}

/** Whether the bucket, as last refilled, allows one request. */
export function hasColdStartToken(bucket: ColdStartBucket): boolean {
  return bucket.tokens >= MAX_TOKENS;
}

/** Subtracts the token of a request that was sent. */
export function consumeColdStartToken(
  bucket: ColdStartBucket,
): ColdStartBucket {
  return {...bucket, tokens: bucket.tokens - MAX_TOKENS};
}
