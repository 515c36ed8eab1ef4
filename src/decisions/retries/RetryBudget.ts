/** The retries that one process may make; each first attempt adds a fraction of a retry. */
export interface RetryBudget {
  /** The number of retries available now; it can be fractional. */
  readonly retries: number;
}

/** Retries added by each first attempt. */
const RETRIES_PER_ATTEMPT_RATIO = 0.1;

/** The upper limit of the retries in a budget. */
const MAX_SAVED_RETRIES = 20;

/** The budget of a new process. */
export const FULL_RETRY_BUDGET: RetryBudget = {retries: MAX_SAVED_RETRIES};

/** Adds the fraction of a retry that a first attempt earns. */
export function recordAttempt(budget: RetryBudget): RetryBudget {
  const retries = Math.min(
    MAX_SAVED_RETRIES,
    budget.retries + RETRIES_PER_ATTEMPT_RATIO,
  );
  return {retries};
}

/** Whether the budget allows one more retry. */
export function isRetryAllowed(budget: RetryBudget): boolean {
  return budget.retries >= 1;
}

/** Subtracts one retry. */
export function recordRetry(budget: RetryBudget): RetryBudget {
  return {retries: budget.retries - 1};
}
