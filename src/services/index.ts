/** The services of a daemon. Each is a task that owns its sockets and its state, and is reached by messages. */
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
