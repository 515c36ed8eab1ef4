export * from './decideEntry.js';
export * from './RouteIndex.js';
