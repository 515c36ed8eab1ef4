export * from './decideAccess.js';
