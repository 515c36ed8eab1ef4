export * from './Claim.js';
