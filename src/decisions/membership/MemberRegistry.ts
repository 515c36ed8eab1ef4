import type * as entry from '../../model/entry/index.js';

/** A change of the entry VMs' rows. */
export type MemberChange =
  | {readonly kind: 'written'; readonly member: entry.MemberRecord}
  | {readonly kind: 'removed'; readonly vmId: string};

/** The entry VMs that registered, as of a version of their table; read-only, each change makes a new one. */
export interface MemberRegistry {
  readonly tableVersion: number;

  /** By VM. */
  readonly members: ReadonlyMap<string, entry.MemberRecord>;
}

/** Applies changes in their order; the last one of a VM counts. */
export function applyMemberChanges(
  registry: MemberRegistry,
  tableVersion: number,
  changes: readonly MemberChange[],
): MemberRegistry {
  const members = new Map(registry.members);
  for (const change of changes) {
    switch (change.kind) {
      case 'written':
        members.set(change.member.vmId, change.member);
        break;
      case 'removed':
        members.delete(change.vmId);
        break;
    }
  }
  return {tableVersion, members};
}
