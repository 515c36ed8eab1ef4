export * from './parseSettings.js';
export * from './Settings.js';
