export * from './ServiceTask.js';
