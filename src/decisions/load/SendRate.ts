/** Time over which sends are counted: a VM of a large fleet sends an upstream one request in several seconds. */
const COUNTING_MS = 20_000;

/** The number of requests sent, in which each counts less the longer ago it was sent. */
export interface SendRate {
  readonly count: number;

  /** Monotonic time in milliseconds as of which the count is given. */
  readonly atMs: number;
}

/** The rate of an upstream to which nothing has been sent. */
export const NO_SENDS: SendRate = {count: 0, atMs: 0};

/** Counts a request that is sent at `nowMs`. */
export function countSend(rate: SendRate, nowMs: number): SendRate {
  return {count: getCount(rate, nowMs) + 1, atMs: nowMs};
}

/**
 * Gets the number of requests that are at an upstream on average, if each takes `durationMs`.
 *
 * @param nowMs Monotonic time in milliseconds.
 */
export function getAverageBusyCount(
  rate: SendRate,
  durationMs: number,
  nowMs: number,
): number {
  return (getCount(rate, nowMs) * durationMs) / COUNTING_MS;
}

function getCount({count, atMs}: SendRate, nowMs: number): number {
  return count * Math.exp(-(nowMs - atMs) / COUNTING_MS);
}
