export * from './OperatorsTask.js';
