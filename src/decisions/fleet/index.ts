export * from './decideSlot.js';
export * from './getHeirIndex.js';
