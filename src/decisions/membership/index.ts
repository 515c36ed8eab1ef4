export * from './chooseEntryVms.js';
export * from './MemberTable.js';
