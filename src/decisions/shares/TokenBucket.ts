/** A token bucket in which each token admits one request. */
export interface TokenBucket {
  /** The number of requests that may be admitted now; it can be fractional. */
  readonly tokens: number;

  /** Monotonic time in milliseconds at which `tokens` was calculated. */
  readonly updatedAtMs: number;
}

const MS_PER_SECOND = 1000;

/** Creates a bucket that holds `tokens`. */
export function createBucket(tokens: number, nowMs: number): TokenBucket {
  return {tokens, updatedAtMs: nowMs};
}

/** Refills a bucket at `ratePerSecond` until the monotonic time `nowMs`; it holds at most `burst` tokens. */
export function refillBucket(
  bucket: TokenBucket,
  ratePerSecond: number,
  burst: number,
  nowMs: number,
): TokenBucket {
  const elapsedMs = Math.max(0, nowMs - bucket.updatedAtMs);
  const tokens = bucket.tokens + (ratePerSecond * elapsedMs) / MS_PER_SECOND;
  return {tokens: Math.min(burst, tokens), updatedAtMs: nowMs};
}

/** Whether the bucket, as last refilled, admits one request. */
export function hasToken(bucket: TokenBucket): boolean {
  return bucket.tokens >= 1;
}

/** Subtracts the token of a request that was admitted. */
export function consumeToken(bucket: TokenBucket): TokenBucket {
  return {...bucket, tokens: bucket.tokens - 1};
}
