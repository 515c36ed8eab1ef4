export * from './MetricsMessage.js';
export * from './MetricsTask.js';
