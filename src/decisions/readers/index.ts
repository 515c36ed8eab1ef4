export * from './chooseReaders.js';
