export * from './PeerMessage.js';
export * from './RowsAnnouncement.js';
