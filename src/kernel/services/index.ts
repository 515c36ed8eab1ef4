export * from './Kernel.js';
export * from './ServiceDirectory.js';
export * from './ServiceName.js';
export * from './Task.js';
