export * from './LoadMessage.js';
export * from './LoadTask.js';
