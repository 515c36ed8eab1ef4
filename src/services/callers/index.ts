export * from './CallersMessage.js';
export * from './CallersTask.js';
export * from './RequestFlow.js';
export * from './RequestPreview.js';
