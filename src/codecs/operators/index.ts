export * from './operatorSchemas.js';
