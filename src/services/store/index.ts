export * from './StoreAdapter.js';
export * from './StoreMessage.js';
export * from './StoreTask.js';
