export * from './EntryDaemon.js';
export * from './runEntryDaemon.js';
