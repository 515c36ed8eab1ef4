import * as fleet from '../../model/fleet/index.js';
import type * as limits from '../limits/index.js';
import * as successors from './getSuccessorIndex.js';
import * as tenures from './SlotTenure.js';

/** A process that is known to have ended. */
export interface DeadProcess {
  readonly processId: string;

  /** Monotonic time in milliseconds at which the end of the process was proved. */
  readonly deadSinceMs: number;
}

/** Gets the slots whose shares of the limits a process controls: its own and those it inherits from dead processes. */
export function getControlledSlots(
  map: fleet.FleetMap,
  tenure: tenures.SlotTenure | undefined,
  deadProcesses: readonly DeadProcess[],
): readonly limits.ControlledSlot[] {
  if (tenure === undefined) return [];
  const own = {
    slotIndex: tenure.slotIndex,
    usableFromMs: tenures.getUsableFromMs(tenure),
    isUnused: tenure.history === 'unused',
  };
  if (own.usableFromMs === Infinity) return [];
  return [own, ...getInheritedSlots(map, tenure.slotIndex, deadProcesses)];
}

function getInheritedSlots(
  map: fleet.FleetMap,
  ownIndex: number,
  deadProcesses: readonly DeadProcess[],
): readonly limits.ControlledSlot[] {
  return map.slots.flatMap((slot, slotIndex) => {
    if (slot.kind === 'free') return [];
    const holder = deadProcesses.find(
      entry => entry.processId === slot.holder.processId,
    );
    if (holder === undefined) return [];
    if (successors.getSuccessorIndex(map, slotIndex) !== ownIndex) return [];
    const usableFromMs =
      holder.deadSinceMs + tenures.LOAN_TERM_MS + tenures.CLOCK_DRIFT_MARGIN_MS;
    return [{slotIndex, usableFromMs, isUnused: false}];
  });
}
