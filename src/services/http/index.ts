export * from './HttpListener.js';
export * from './ReadBarrier.js';
export * from './readBody.js';
export * from './isNotSent.js';
