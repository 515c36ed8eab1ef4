import * as fleet from '../../model/fleet/index.js';
import type * as limits from '../limits/index.js';
import * as successors from './getSuccessorIndex.js';
import * as tenures from './getTenure.js';

/** A process that is certainly gone. */
export interface DeadProcess {
  readonly processId: string;

  /** Monotonic time in milliseconds at which that became certain. */
  readonly sinceMs: number;
}

/** Gets the slots whose shares a process may use: its own and those it inherits from the dead. */
export function getControlledSlots(
  map: fleet.FleetMap,
  tenure: tenures.SlotTenure | undefined,
  dead: readonly DeadProcess[],
): readonly limits.ControlledSlot[] {
  if (tenure === undefined) return [];
  const own = {
    slotIndex: tenure.slotIndex,
    usableFromMs: tenures.getUsableFromMs(tenure),
    isUnused: tenure.history === 'unused',
  };
  if (own.usableFromMs === Infinity) return [];
  return [own, ...getInheritedSlots(map, tenure.slotIndex, dead)];
}

function getInheritedSlots(
  map: fleet.FleetMap,
  ownIndex: number,
  dead: readonly DeadProcess[],
): readonly limits.ControlledSlot[] {
  return map.slots.flatMap((slot, slotIndex) => {
    if (slot.kind === 'free') return [];
    const holder = dead.find(
      entry => entry.processId === slot.holder.processId,
    );
    if (holder === undefined) return [];
    if (successors.getSuccessorIndex(map, slotIndex) !== ownIndex) return [];
    const usableFromMs =
      holder.sinceMs + tenures.LOAN_TERM_MS + tenures.DRIFT_MARGIN_MS;
    return [{slotIndex, usableFromMs, isUnused: false}];
  });
}
