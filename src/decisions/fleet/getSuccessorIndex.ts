import type * as fleet from '../../model/fleet/index.js';

/**
 * Gets the slot whose holder may use a dead holder's share: the next held one in the fixed order.
 * It depends on the table's map alone, so no two processes with the same map disagree.
 */
export function getSuccessorIndex(
  map: fleet.FleetMap,
  slotIndex: number,
): number | undefined {
  const count = map.slots.length;
  for (let step = 1; step < count; step += 1) {
    const candidateIndex = (slotIndex + step) % count;
    if (map.slots[candidateIndex]?.kind === 'held') return candidateIndex;
  }
  return undefined;
}
