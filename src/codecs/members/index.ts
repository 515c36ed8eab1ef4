export * from './memberStatus.js';
export * from './socketAddress.js';
export * from './storePosition.js';
export * from './tableSnapshotSchemas.js';
