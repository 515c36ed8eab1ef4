export * from './memberStatus.js';
export * from './socketAddress.js';
export * from './tableSnapshotSchemas.js';
