export * from './ReadersMessage.js';
export * from './ReadersTask.js';
