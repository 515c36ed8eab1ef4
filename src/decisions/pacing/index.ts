export * from './ColdPace.js';
