export * from './encodePeerMessages.js';
export * from './peerSchemas.js';
