export * from './CallerRequest.js';
