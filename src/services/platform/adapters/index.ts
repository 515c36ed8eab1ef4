export * from './EmbeddedPlatform.js';
export * from './HttpPlatform.js';
export * from './PlatformAdapter.js';
