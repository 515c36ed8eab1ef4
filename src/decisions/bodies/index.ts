export * from './getExcessPieceCount.js';
