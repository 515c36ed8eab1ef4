export * from './MeanTime.js';
export * from './ServedShare.js';
export * from './ServiceUse.js';
export * from './decideRetry.js';
export * from './waiting.js';
export * from './RequestRate.js';
