export * from './OperationsMessage.js';
export * from './OperationsTask.js';
