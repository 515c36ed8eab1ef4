import * as fleet from '../../model/fleet/index.js';

/** What is known of the holders of slots when a process looks for one. */
export interface SlotEvidence {
  /** The VMs on the platform's list; undefined when the list could not be read. */
  readonly listedVmIds: readonly string[] | undefined;

  /** Processes whose own address refused a connection, so that they are certainly gone. */
  readonly deadProcessIds: readonly string[];

  /** Processes that have answered nobody here for longer than every lease. */
  readonly silentProcessIds: readonly string[];
}

/** What is certain of a slot's former holder. */
export type SlotHistory =
  /** There was none. */
  | 'unused'
  /** It gave the slot back, or its process is gone. */
  | 'gone'
  /** Nobody hears it, but it may live and be cut off. */
  | 'silent';

/** How a slot can be had. */
export type SlotDecision =
  /** The process holds a slot already. */
  | {readonly kind: 'held'; readonly slotIndex: number}
  /** A slot that no live process can be using. */
  | {
      readonly kind: 'take';
      readonly slotIndex: number;
      readonly epoch: number;
      readonly history: SlotHistory;
    }
  | {readonly kind: 'none'};

/** Decides which slot a process takes, if any. */
export function decideSlot(
  map: fleet.FleetMap,
  self: fleet.VmRecord,
  evidence: SlotEvidence,
): SlotDecision {
  const heldIndex = fleet.getSlotIndex(map, self.processId);
  if (heldIndex !== undefined) return {kind: 'held', slotIndex: heldIndex};
  return (
    getOwnFormerSlot(map, self) ??
    getFreeSlot(map) ??
    getAbandonedSlot(map, evidence) ?? {kind: 'none'}
  );
}

/** A new process on the same VM and listener proves that the former one is gone. */
function getOwnFormerSlot(
  map: fleet.FleetMap,
  self: fleet.VmRecord,
): SlotDecision | undefined {
  return findSlot(
    map,
    slot =>
      slot.kind === 'held' &&
      slot.holder.vmId === self.vmId &&
      slot.holder.peersAddress === self.peersAddress,
    'gone',
  );
}

function getFreeSlot(map: fleet.FleetMap): SlotDecision | undefined {
  const isUnused = (slot: fleet.Slot) =>
    slot.kind === 'free' && slot.epoch === 0;
  return (
    findSlot(map, isUnused, 'unused') ??
    findSlot(map, slot => slot.kind === 'free', 'gone')
  );
}

function getAbandonedSlot(
  map: fleet.FleetMap,
  evidence: SlotEvidence,
): SlotDecision | undefined {
  const isUnlisted = (vmId: string) =>
    evidence.listedVmIds !== undefined && !evidence.listedVmIds.includes(vmId);
  const dead = findSlot(
    map,
    slot =>
      slot.kind === 'held' &&
      isUnlisted(slot.holder.vmId) &&
      evidence.deadProcessIds.includes(slot.holder.processId),
    'gone',
  );
  if (dead !== undefined) return dead;
  return findSlot(
    map,
    slot =>
      slot.kind === 'held' &&
      isUnlisted(slot.holder.vmId) &&
      evidence.silentProcessIds.includes(slot.holder.processId),
    'silent',
  );
}

function findSlot(
  map: fleet.FleetMap,
  isWanted: (slot: fleet.Slot) => boolean,
  history: SlotHistory,
): SlotDecision | undefined {
  const slotIndex = map.slots.findIndex(isWanted);
  const slot = map.slots[slotIndex];
  if (slot === undefined) return undefined;
  return {kind: 'take', slotIndex, epoch: slot.epoch + 1, history};
}
