import type * as entry from '../../model/entry/index.js';

/** The last status of a peer and the time at which it arrived. */
export interface MemberEntry {
  readonly status: entry.MemberStatus;

  /** Monotonic time in milliseconds at which the status arrived. */
  readonly statusReceivedAtMs: number;
}

/** The peers of one process by VM identifier. */
export type MemberTable = ReadonlyMap<string, MemberEntry>;

/**
 * Silence in milliseconds after which callers are no longer sent to a peer: the time of three status messages and a
 * margin.
 */
export const MEMBER_SILENCE_MS = 3500;

/** Silence in milliseconds up to which a peer counts as possibly serving. */
const POSSIBLY_SERVING_SILENCE_MS = 20_000;

/** Gets the peers that are not leaving and whose last status is recent enough to send callers to them. */
export function getServingMembers(
  members: MemberTable,
  nowMs: number,
): readonly entry.MemberRecord[] {
  return [...members.values()]
    .filter(
      peer =>
        !peer.status.isLeaving &&
        nowMs - peer.statusReceivedAtMs < MEMBER_SILENCE_MS,
    )
    .map(peer => peer.status.member);
}

/** Gets the number of peers that may be serving, including those that have been silent for a while. */
export function getPossiblyServingCount(
  members: MemberTable,
  nowMs: number,
): number {
  let count = 0;
  for (const peer of members.values())
    if (nowMs - peer.statusReceivedAtMs < POSSIBLY_SERVING_SILENCE_MS)
      count += 1;
  return count;
}

/** Returns whether the process receives status messages from at least one of its peers, or has no peers. */
export function isConnected(members: MemberTable, nowMs: number): boolean {
  if (getPossiblyServingCount(members, nowMs) === 0) return true;
  for (const peer of members.values())
    if (nowMs - peer.statusReceivedAtMs < MEMBER_SILENCE_MS) return true;
  return false;
}
