export * from './EventName.js';
export * from './LogMessage.js';
export * from './LogTask.js';
