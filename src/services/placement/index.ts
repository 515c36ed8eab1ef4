export * from './PlacementMessage.js';
export * from './PlacementTask.js';
