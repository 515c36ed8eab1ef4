import type * as entry from '../../model/entry/index.js';

/** A peer and when it was last heard. */
export interface KnownMember {
  readonly status: entry.MemberStatus;

  /** Monotonic time in milliseconds at which it was last heard. */
  readonly heardAtMs: number;
}

/** The peers of one process, by VM; read-only, each change makes a new one. */
export type MemberTable = ReadonlyMap<string, KnownMember>;

/** Silence in milliseconds after which callers are no longer sent to a peer: three messages and a margin. */
export const MEMBER_SILENCE_MS = 3500;

/** Silence in milliseconds for which a peer still counts as one that may be serving. */
const MEMBER_RESERVE_MS = 20_000;

/** Notes what a peer said of itself. */
export function addStatus(
  members: MemberTable,
  status: entry.MemberStatus,
  nowMs: number,
): MemberTable {
  return new Map(members).set(status.member.vmId, {status, heardAtMs: nowMs});
}

/** Gets the peers that were heard lately and take callers. */
export function getServingMembers(
  members: MemberTable,
  nowMs: number,
): readonly entry.MemberRecord[] {
  return [...members.values()]
    .filter(
      known =>
        !known.status.isLeaving && nowMs - known.heardAtMs < MEMBER_SILENCE_MS,
    )
    .map(known => known.status.member);
}

/** Gets how many peers may be serving, though unheard for a while. */
export function getReservedCount(members: MemberTable, nowMs: number): number {
  let count = 0;
  for (const known of members.values())
    if (nowMs - known.heardAtMs < MEMBER_RESERVE_MS) count += 1;
  return count;
}

/** Whether a process hears any of its peers, or has none. */
export function isConnected(members: MemberTable, nowMs: number): boolean {
  if (getReservedCount(members, nowMs) === 0) return true;
  for (const known of members.values())
    if (nowMs - known.heardAtMs < MEMBER_SILENCE_MS) return true;
  return false;
}
