export * from './decideSlot.js';
export * from './getControlledSlots.js';
export * from './getHeirIndex.js';
export * from './getTenure.js';
