export * from './parseLogLine.js';
