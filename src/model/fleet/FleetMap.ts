import type * as vms from './VmRecord.js';

/**
 * One of a fixed number of slots, each held by at most one VM. Every organisation's limit is divided
 * into as many shares, one for each slot.
 */
export type Slot =
  | {readonly kind: 'free'; readonly epoch: number}
  | {
      readonly kind: 'held';
      /** Increases by one with each new holder. */
      readonly epoch: number;
      readonly holder: vms.VmRecord;
    };

/** The assignment of slots to VMs, as stored in the platform's table. */
export interface FleetMap {
  /** The version of the map's row in the table; increases with each change. */
  readonly version: number;

  /** All slots; a slot's index never changes. */
  readonly slots: readonly Slot[];

  /** VMs that serve requests without holding a slot. */
  readonly standbys: readonly vms.VmRecord[];
}

/** Gets all VMs of the map: first the slot holders, then the standbys. */
export function getVms(map: FleetMap): readonly vms.VmRecord[] {
  const holders = map.slots.flatMap(slot =>
    slot.kind === 'held' ? [slot.holder] : [],
  );
  return [...holders, ...map.standbys];
}

/** Gets the index of the slot that a process holds, or undefined when it holds none. */
export function getSlotIndex(
  map: FleetMap,
  processId: string,
): number | undefined {
  const index = map.slots.findIndex(
    slot => slot.kind === 'held' && slot.holder.processId === processId,
  );
  return index < 0 ? undefined : index;
}

/** Gets the number of slots that form a majority. */
export function getMajority(slotCount: number): number {
  return Math.floor(slotCount / 2) + 1;
}
