import type * as entry from '../../model/entry/index.js';

/** A change of an entry VM's row in the table of registered entry VMs. */
export type MemberChange =
  | {readonly kind: 'written'; readonly member: entry.MemberRecord}
  | {readonly kind: 'removed'; readonly vmId: string};

/** The registered entry VMs at a position of the store. Read-only: each change creates a new registry. */
export interface MemberRegistry {
  readonly position: entry.StorePosition;

  /** The registered entry VMs by VM identifier. */
  readonly members: ReadonlyMap<string, entry.MemberRecord>;
}

/** Applies changes in the given order, so that the last change of each VM wins. */
export function applyMemberChanges(
  registry: MemberRegistry,
  position: entry.StorePosition,
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
  return {position, members};
}
