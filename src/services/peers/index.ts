export * from './answerPeerRequest.js';
export * from './PeersMessage.js';
export * from './PeersTask.js';
