export * from './memberStatus.js';
export * from './socketAddress.js';
export * from './knowledgeSchemas.js';
