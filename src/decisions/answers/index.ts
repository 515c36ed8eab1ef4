export * from './getStatusKind.js';
