export * from './BlockTable.js';
export * from './decideSteering.js';
export * from './getCallerPosition.js';
export * from './getShiftedRegion.js';
export * from './VmIndex.js';
