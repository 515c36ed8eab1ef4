/** Retries that may be made, earned by first attempts. */
export interface RetryBudget {
  readonly retries: number;
}

/** Retries earned by each first attempt. */
const RETRIES_PER_ATTEMPT = 0.1;

/** The most retries that can be saved up. */
const MAX_RETRIES = 20;

/** The budget of a new process. */
export const FULL_RETRY_BUDGET: RetryBudget = {retries: MAX_RETRIES};

/** Counts a first attempt. */
export function addAttempt(budget: RetryBudget): RetryBudget {
  const retries = Math.min(MAX_RETRIES, budget.retries + RETRIES_PER_ATTEMPT);
  return {retries};
}

/** Whether one more retry may be made. */
export function isRetryAllowed(budget: RetryBudget): boolean {
  return budget.retries >= 1;
}

/** Counts a retry. */
export function addRetry(budget: RetryBudget): RetryBudget {
  return {retries: budget.retries - 1};
}
