export * from './AuditRecord.js';
export * from './ClientBlock.js';
export * from './Configuration.js';
export * from './Key.js';
export * from './Organisation.js';
export * from './Route.js';
export * from './Shift.js';
export * from './Upstream.js';
