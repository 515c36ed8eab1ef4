export * from './peerSchemas.js';
