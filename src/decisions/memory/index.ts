export * from './getMaxAnswerBytes.js';
export * from './getMaxHeldBodyBytes.js';
