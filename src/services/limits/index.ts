export * from './LimitsMessage.js';
export * from './LimitsTask.js';
