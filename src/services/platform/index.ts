export * from './adapters/index.js';
export * from './PlatformMessage.js';
export * from './PlatformTask.js';
