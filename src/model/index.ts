/** The read-only data types, and the errors, that all other folders share. */
export * from './configuration/index.js';
export * from './entry/index.js';
export * from './errors/index.js';
export * from './fleet/index.js';
export * from './operations/index.js';
export * from './operators/index.js';
export * from './peers/index.js';
export * from './platform/index.js';
export * from './requests/index.js';
