/** What the order of waiting requests depends on. */
export interface WaitingRank {
  /** 0 is the most urgent. */
  readonly priority: number;

  /** Monotonic time in milliseconds by which an upstream must have answered. */
  readonly finishByMs: number;
}

/** The part of a route's objective for which a request waits at most; callers do better by coming back. */
const MAX_WAIT_PART = 1 / 8;

/** Orders waiting requests, the most urgent first: by priority, then by deadline. */
export function compareWaiting(a: WaitingRank, b: WaitingRank): number {
  return a.priority - b.priority || a.finishByMs - b.finishByMs;
}

/** Gets the monotonic time in milliseconds until which a request that arrives now may wait before it is sent. */
export function getWaitUntilMs(
  {objectiveMs}: {readonly objectiveMs: number},
  finishByMs: number,
  nowMs: number,
): number {
  return Math.min(finishByMs, nowMs + objectiveMs * MAX_WAIT_PART);
}

/** Whether an upstream is expected to accept a request within its wait. */
export function isWorthWaiting(
  {joinableInMs}: {readonly joinableInMs: number},
  {untilMs}: {readonly untilMs: number},
  nowMs: number,
): boolean {
  return nowMs + joinableInMs <= untilMs;
}
