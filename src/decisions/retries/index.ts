export * from './Quarantine.js';
export * from './RetryBudget.js';
