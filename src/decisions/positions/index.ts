export * from './comparePositions.js';
export * from './decideRead.js';
export * from './locateAnswer.js';
