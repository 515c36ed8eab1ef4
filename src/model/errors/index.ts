export * from './BramleyrunError.js';
export * from './ErrorKind.js';
export * from './errors.js';
