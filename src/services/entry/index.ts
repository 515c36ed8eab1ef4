export * from './EntryMessage.js';
export * from './EntryTask.js';
export * from './SteeringListenerTask.js';
