export * from './QuarantineMessage.js';
export * from './QuarantineTask.js';
