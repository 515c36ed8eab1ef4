export * from './choosePlacement.js';
export * from './getDomainShares.js';
export * from './hash.js';
export * from './rankUpstreams.js';
