export * from './parseOrThrow.js';
