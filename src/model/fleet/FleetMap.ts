import type * as vms from './VmRecord.js';

/** One of the fixed number of shares into which every limit is divided. */
export type Slot =
  | {readonly kind: 'free'; readonly epoch: number}
  | {
      readonly kind: 'held';
      /** Grows by one with each new holder. */
      readonly epoch: number;
      readonly holder: vms.VmRecord;
    };

/** Who holds which slot, as the platform's table has it. */
export interface FleetMap {
  /** The version of the table's row; grows with each change. */
  readonly version: number;

  /** The slots in their fixed order. */
  readonly slots: readonly Slot[];

  /** VMs that serve without a slot. */
  readonly standbys: readonly vms.VmRecord[];
}

/** Gets the VMs that the map names, holders first. */
export function getVms(map: FleetMap): readonly vms.VmRecord[] {
  const holders = map.slots.flatMap(slot =>
    slot.kind === 'held' ? [slot.holder] : [],
  );
  return [...holders, ...map.standbys];
}

/** Gets the index of the slot that a process holds, or nothing. */
export function getSlotIndex(
  map: FleetMap,
  processId: string,
): number | undefined {
  const index = map.slots.findIndex(
    slot => slot.kind === 'held' && slot.holder.processId === processId,
  );
  return index < 0 ? undefined : index;
}

/** Gets how many slots make a majority. */
export function getMajority(slotCount: number): number {
  return Math.floor(slotCount / 2) + 1;
}
