import type * as entry from '../../../src/model/entry/index.js';

/** Gets the record of an entry VM, but for what `change` says. */
export function getMemberRecord(
  vmId: string,
  change: Partial<entry.MemberRecord> = {},
): entry.MemberRecord {
  return {
    vmId,
    processId: 'p',
    region: 'x',
    failureDomain: 'x-1',
    callersAddress: `${vmId}:1`,
    peersAddress: `${vmId}:2`,
    ...change,
  };
}
