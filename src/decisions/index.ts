/** Pure decision functions and the data they work on: no access to clocks, sockets, random sources or loggers. */
export * from './access/index.js';
export * from './bodies/index.js';
export * from './claims/index.js';
export * from './discovery/index.js';
export * from './fleet/index.js';
export * from './freshness/index.js';
export * from './limits/index.js';
export * from './membership/index.js';
export * from './overload/index.js';
export * from './pacing/index.js';
export * from './placement/index.js';
export * from './retries/index.js';
export * from './routing/index.js';
export * from './shares/index.js';
export * from './shutdown/index.js';
export * from './steering/index.js';
export * from './upstreams/index.js';
