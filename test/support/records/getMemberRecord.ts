import type * as entry from '../../../src/model/entry/index.js';

/** Returns the record of an entry VM with default values; `overrides` replaces fields. */
export function getMemberRecord(
  vmId: string,
  overrides: Partial<entry.MemberRecord> = {},
): entry.MemberRecord {
  return {
    vmId,
    processId: 'p',
    region: 'x',
    failureDomain: 'x-1',
    callersAddress: `${vmId}:1`,
    peersAddress: `${vmId}:2`,
    ...overrides,
  };
}
