/** The micro-kernel: lookup of services by name, mailboxes, and the life cycle of tasks. */
export * from './messages/index.js';
export * from './services/index.js';
export * from './time/index.js';
