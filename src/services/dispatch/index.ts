export * from './DispatchMessage.js';
export * from './DispatchTask.js';
