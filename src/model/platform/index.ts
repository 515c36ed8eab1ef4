export * from './TableTransaction.js';
