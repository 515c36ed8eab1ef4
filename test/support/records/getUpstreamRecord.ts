import type * as entry from '../../../src/model/entry/index.js';

/** Returns the record of a ready upstream with default values; `overrides` replaces fields. */
export function getUpstreamRecord(
  upstreamId: string,
  overrides: Partial<entry.UpstreamRecord> = {},
): entry.UpstreamRecord {
  return {
    upstreamId,
    serviceId: 'desk',
    host: '127.0.0.1',
    port: 9,
    region: 'amman',
    failureDomain: 'amman-a',
    slotCount: 3,
    state: 'ready',
    revision: 1,
    coldForMs: 0,
    startedAtMs: 1,
    ...overrides,
  };
}
