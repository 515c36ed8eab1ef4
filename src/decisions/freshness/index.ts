export * from './getFreshUntilMs.js';
