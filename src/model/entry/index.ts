export * from './EntryConfiguration.js';
export * from './EntryRequest.js';
export * from './EntryRoute.js';
export * from './EntrySettings.js';
export * from './TableSnapshot.js';
export * from './MemberRecord.js';
export * from './UpstreamRecord.js';
export * from './UpstreamStart.js';
