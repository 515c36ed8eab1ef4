export * from './applyPatch.js';
export * from './configurationSchema.js';
