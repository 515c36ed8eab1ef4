export * from './ConfigurationMessage.js';
export * from './ConfigurationTask.js';
