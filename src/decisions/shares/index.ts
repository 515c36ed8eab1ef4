export * from './chooseLender.js';
export * from './getLimitAllowance.js';
export * from './TokenBucket.js';
export * from './sumUses.js';
