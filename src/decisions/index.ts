/** Pure decisions: no clock, socket, random source or logger of their own. */
export * from './access/index.js';
export * from './claims/index.js';
export * from './fleet/index.js';
export * from './freshness/index.js';
export * from './limits/index.js';
export * from './retries/index.js';
export * from './steering/index.js';
export * from './upstreams/index.js';
