export * from './mergeUpstreams.js';
export * from './applyOperatorChanges.js';
export * from './chooseNewerRows.js';
export * from './Following.js';
export * from './StoreReachability.js';
