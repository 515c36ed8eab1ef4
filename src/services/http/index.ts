export * from './CallerConnection.js';
export * from './CallerConnections.js';
export * from './HttpListener.js';
export * from './answerSizes.js';
export * from './ReadBarrier.js';
export * from './ResetWatch.js';
export * from './readBody.js';
export * from './isNotSent.js';
