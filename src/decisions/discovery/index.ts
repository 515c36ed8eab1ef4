export * from './mergeUpstreams.js';
export * from './applyOperatorChanges.js';
