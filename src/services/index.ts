/** The tasks of a daemon; each owns its sockets and its state. */
export * from './callers/index.js';
export * from './configuration/index.js';
export * from './dispatch/index.js';
export * from './entry/index.js';
export * from './fleet/index.js';
export * from './knowledge/index.js';
export * from './limits/index.js';
export * from './logs/index.js';
export * from './members/index.js';
export * from './metrics/index.js';
export * from './operations/index.js';
export * from './operators/index.js';
export * from './peers/index.js';
export * from './platform/index.js';
export * from './shares/index.js';
export * from './store/index.js';
export * from './upstreams/index.js';
