export * from './Clock.js';
export * from './SystemClock.js';
