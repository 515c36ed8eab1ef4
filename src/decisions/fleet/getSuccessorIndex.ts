import type * as fleet from '../../model/fleet/index.js';

/**
 * Gets the index of the slot whose holder inherits the share of a dead holder: the next held slot in the fixed order.
 * The result depends on the fleet map alone, so processes with the same map agree on it. Undefined if no other slot
 * is held.
 */
export function getSuccessorIndex(
  map: fleet.FleetMap,
  slotIndex: number,
): number | undefined {
  const count = map.slots.length;
  for (let offset = 1; offset < count; offset += 1) {
    const candidateIndex = (slotIndex + offset) % count;
    if (map.slots[candidateIndex]?.kind === 'held') return candidateIndex;
  }
  return undefined;
}
