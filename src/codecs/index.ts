/** Encoding and decoding of messages, settings and stored rows; no decision logic. */
export * from './configuration/index.js';
export * from './entry/index.js';
export * from './http/index.js';
export * from './logs/index.js';
export * from './members/index.js';
export * from './operators/index.js';
export * from './peers/index.js';
export * from './platform/index.js';
export * from './rows/index.js';
export * from './schemas/index.js';
export * from './settings/index.js';
