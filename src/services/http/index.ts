export * from './HttpListener.js';
export * from './readBody.js';
export * from './isNotSent.js';
