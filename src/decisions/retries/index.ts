export * from './Quarantine.js';
export * from './RetryBudget.js';
export * from './ServiceRetryBudget.js';
