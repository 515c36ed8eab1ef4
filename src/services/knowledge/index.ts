export * from './KnowledgeMessage.js';
export * from './KnowledgeTask.js';
