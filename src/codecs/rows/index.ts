export * from './rowKeys.js';
export * from './rowSchemas.js';
