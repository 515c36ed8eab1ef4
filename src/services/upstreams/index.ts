export * from './UpstreamsMessage.js';
export * from './UpstreamsTask.js';
