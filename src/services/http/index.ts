export * from './HttpListener.js';
export * from './readBody.js';
