export * from './LoadMessage.js';
export * from './LoadTask.js';
export * from './LoopDelay.js';
