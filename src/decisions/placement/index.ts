export * from './choosePlacement.js';
export * from './choosePlacementByFinish.js';
export * from './getRegionShares.js';
export * from './hash.js';
export * from './rankInRegions.js';
export * from './rankUpstreams.js';
