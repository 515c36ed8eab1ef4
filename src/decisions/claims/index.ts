export * from './decideClaim.js';
