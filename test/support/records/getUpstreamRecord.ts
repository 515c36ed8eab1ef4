import type * as entry from '../../../src/model/entry/index.js';

/** Gets the record of a ready upstream, but for what `change` says. */
export function getUpstreamRecord(
  upstreamId: string,
  change: Partial<entry.UpstreamRecord> = {},
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
    coldForMs: 0,
    startedAtMs: 1,
    ...change,
  };
}
