export * from './PeersMessage.js';
export * from './PeersTask.js';
