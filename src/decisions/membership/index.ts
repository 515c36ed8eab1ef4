export * from './bundles.js';
export * from './BusyState.js';
export * from './chooseEntryVms.js';
export * from './collectors.js';
export * from './drawVms.js';
export * from './getStatusNews.js';
export * from './MemberRegistry.js';
export * from './MemberTable.js';
