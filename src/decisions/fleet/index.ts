export * from './decideSlot.js';
export * from './getControlledSlots.js';
export * from './getSuccessorIndex.js';
export * from './SlotTenure.js';
