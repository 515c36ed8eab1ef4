export * from './chooseEntryVms.js';
export * from './MemberRegistry.js';
export * from './MemberTable.js';
