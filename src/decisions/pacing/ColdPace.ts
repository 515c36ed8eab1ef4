/**
 * One VM's part of the rate that a cold upstream bears. All VMs pace themselves without a word to each
 * other: each starts at a random point of its own interval, so that their sum keeps to the rate.
 */
export interface ColdPace {
  /** Requests that may be sent now. */
  readonly tokens: number;

  /** Monotonic time in milliseconds at which `tokens` was right. */
  readonly asOfMs: number;
}

/** The most requests that a VM saves up. */
const MAX_TOKENS = 1;

const MS_PER_SECOND = 1000;

/** Gets the pace of an upstream that has just turned cold; `random` is from 0 up to 1. */
export function startPace(random: number, nowMs: number): ColdPace {
  return {tokens: random * MAX_TOKENS, asOfMs: nowMs};
}

/** Brings a pace up to date, for a VM that may send `ratePerSecond`. */
export function advancePace(
  pace: ColdPace,
  ratePerSecond: number,
  nowMs: number,
): ColdPace {
  const elapsedMs = Math.max(0, nowMs - pace.asOfMs);
  const tokens = Math.min(
    MAX_TOKENS,
    pace.tokens + (ratePerSecond * elapsedMs) / MS_PER_SECOND,
  );
  return {tokens, asOfMs: nowMs};
}

/** Whether a request may be sent now. */
export function isPaceOpen(pace: ColdPace): boolean {
  return pace.tokens >= MAX_TOKENS;
}

/** Notes a request that was sent. */
export function spendPace(pace: ColdPace): ColdPace {
  return {...pace, tokens: pace.tokens - MAX_TOKENS};
}
