/** The refusal of a request for which a retry time is decided; all times are monotonic, in milliseconds. */
export interface Refusal {
  readonly nowMs: number;

  /** When an upstream is expected to accept the request. */
  readonly joinableAtMs: number;

  /** Until when the caller waits for an answer. */
  readonly callerDeadlineMs: number;

  /** The time from one to the next request that the capacity left to this VM's callers can serve. */
  readonly intervalMs: number;

  /** A random number from 0 to below 1. */
  readonly random: number;
}

/** When a refused caller should retry. */
export interface RetryDecision {
  readonly retryAtMs: number;

  /** When the next caller of the same service that is refused may retry at the earliest. */
  readonly nextFreeAtMs: number;
}

/** The part of a caller's remaining time for which it honours a retry time. */
const MAX_WAIT_PART = 1 / 3;

/**
 * Decides when a refused caller should retry: when capacity is expected, and after the callers refused before it, at
 * the rate at which capacity frees. Handles a burst, after which callers that return together would be refused again.
 *
 * @param freeAtMs The `nextFreeAtMs` of the previous decision for the service.
 */
export function decideRetry(refusal: Refusal, freeAtMs: number): RetryDecision {
  const {nowMs, joinableAtMs, callerDeadlineMs, intervalMs, random} = refusal;
  const latestMs = getLatestRetryMs(callerDeadlineMs, nowMs);
  const earliestMs = Math.max(nowMs, joinableAtMs);
  const wantedMs = Math.max(earliestMs, freeAtMs) + random * intervalMs;
  if (wantedMs <= latestMs)
    return {
      retryAtMs: wantedMs,
      nextFreeAtMs: Math.max(earliestMs, freeAtMs) + intervalMs,
    };
  // More callers are refused than capacity frees for in time: those beyond are spread over the time that is left.
  const startMs = Math.min(earliestMs, (nowMs + latestMs) / 2);
  return {
    retryAtMs: startMs + random * (latestMs - startMs),
    nextFreeAtMs: freeAtMs,
  };
}

/** Gets the latest monotonic time in milliseconds for which a caller honours a retry time. */
export function getLatestRetryMs(
  callerDeadlineMs: number,
  nowMs: number,
): number {
  return nowMs + Math.max(0, callerDeadlineMs - nowMs) * MAX_WAIT_PART;
}
