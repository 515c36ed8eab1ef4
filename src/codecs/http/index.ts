export * from './decodeCallerRequest.js';
export * from './digests.js';
export * from './encodeError.js';
export * from './headerNames.js';
export * from './steeringSchema.js';
