export * from './isAdmittedWhileStopping.js';
