export * from './SharesMessage.js';
export * from './SharesTask.js';
