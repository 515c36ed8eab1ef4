export * from './advanceBucket.js';
export * from './BucketEvent.js';
export * from './BucketState.js';
export * from './applyBucketEvent.js';
export * from './getHome.js';
