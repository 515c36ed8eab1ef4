export * from './RandomSource.js';
export * from './ServiceTask.js';
