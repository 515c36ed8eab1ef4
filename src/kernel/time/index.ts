export * from './Clock.js';
export * from './SystemClock.js';
export * from './SystemTimers.js';
export * from './Timers.js';
