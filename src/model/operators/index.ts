export * from './OperatorMessage.js';
