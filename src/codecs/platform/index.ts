export * from './platformSchemas.js';
