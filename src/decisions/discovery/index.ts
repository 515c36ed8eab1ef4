export * from './addMissingUpstreams.js';
export * from './mergeUpstreams.js';
export * from './applyOperatorChanges.js';
export * from './mergeOperatorRows.js';
export * from './TableReadMode.js';
export * from './StoreReachability.js';
export * from './chooseLaterRecord.js';
