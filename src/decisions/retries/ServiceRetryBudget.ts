/** One VM's share of the retries that the fleet may send to a service within a sliding window. */
export interface ServiceRetryBudget {
  /** The number of retries available now; it can be fractional. */
  readonly tokens: number;

  /** Monotonic time in milliseconds at which `tokens` was calculated. */
  readonly updatedAtMs: number;
}

/** The bound on the whole fleet's retries to one service: `ratio` times the requests of a window, plus `slack`. */
export interface RetryBounds {
  /** Retries allowed per request. */
  readonly ratio: number;

  /** Retries allowed in each window in addition to the ratio. */
  readonly slack: number;

  /** The length of the window in milliseconds. */
  readonly windowMs: number;

  /** The number of VMs that share the bound. */
  readonly memberCount: number;
}

/** The fraction of the ratio that is used; the remainder allows for requests that end in another window. */
const USED_RATIO_FRACTION = 0.9;

/**
 * The fraction of the slack that all VMs together hold at their start, and earn again in each window. It is below a
 * quarter because the VMs may spend it four times in a window within which all of them start twice.
 */
const USED_SLACK_FRACTION = 0.24;

/** Creates the budget of a new process, which holds this VM's share of the slack. */
export function createServiceRetryBudget(
  bounds: RetryBounds,
  nowMs: number,
): ServiceRetryBudget {
  return {tokens: getSlackShare(bounds), updatedAtMs: nowMs};
}

/** Adds the retries earned by one request and by the time since the last update. */
export function earnServiceRetries(
  budget: ServiceRetryBudget,
  bounds: RetryBounds,
  nowMs: number,
): ServiceRetryBudget {
  const slackShare = getSlackShare(bounds);
  const elapsedMs = Math.max(0, nowMs - budget.updatedAtMs);
  const earned =
    USED_RATIO_FRACTION * bounds.ratio +
    (slackShare * elapsedMs) / bounds.windowMs;
  return {
    tokens: Math.min(slackShare, budget.tokens + earned),
    updatedAtMs: nowMs,
  };
}

/** Whether the budget allows one more retry. */
export function isServiceRetryAllowed(budget: ServiceRetryBudget): boolean {
  return budget.tokens >= 1;
}

/** Subtracts one retry. */
export function spendServiceRetry(
  budget: ServiceRetryBudget,
): ServiceRetryBudget {
  return {...budget, tokens: budget.tokens - 1};
}

function getSlackShare(bounds: RetryBounds): number {
  return Math.max(1, (USED_SLACK_FRACTION * bounds.slack) / bounds.memberCount);
}
