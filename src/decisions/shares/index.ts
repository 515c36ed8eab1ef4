export * from './chooseLender.js';
export * from './getLimitAllowance.js';
export * from './getStartAllowance.js';
export * from './TokenBucket.js';
export * from './sumUses.js';
