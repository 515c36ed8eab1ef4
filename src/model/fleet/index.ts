export * from './FleetMap.js';
export * from './VmRecord.js';
