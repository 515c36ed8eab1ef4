export * from './getLimitShare.js';
export * from './TokenBucket.js';
