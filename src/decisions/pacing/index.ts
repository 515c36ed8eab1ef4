export * from './ColdStartBucket.js';
