export * from './Address.js';
export * from './Mailbox.js';
