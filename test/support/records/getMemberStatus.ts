import type * as entry from '../../../src/model/entry/index.js';

/** Gets the status of an entry VM that knows and does nothing, but for what `change` says. */
export function getMemberStatus(
  member: entry.MemberRecord,
  change: Partial<entry.MemberStatus> = {},
): entry.MemberStatus {
  return {
    member,
    isLeaving: false,
    operatorRowsVersion: 0,
    upstreamRowsVersion: 0,
    limitUses: undefined,
    serviceDemands: [],
    ...change,
  };
}
