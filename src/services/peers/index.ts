export * from './peerRpcMessages.js';
export * from './PeerRpcServer.js';
export * from './PeersMessage.js';
export * from './PeersTask.js';
