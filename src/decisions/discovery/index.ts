export * from './mergeUpstreams.js';
export * from './applyOperatorChanges.js';
export * from './chooseNewerRows.js';
export * from './TableReadMode.js';
export * from './StoreReachability.js';
export * from './chooseLaterRecord.js';
