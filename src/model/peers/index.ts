export * from './PeerMessage.js';
