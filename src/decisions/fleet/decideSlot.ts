import * as fleet from '../../model/fleet/index.js';

/** Evidence on which slot holders are no longer running, for a process that needs a slot. */
export interface SlotEvidence {
  /** The VMs that the platform lists; undefined when the list could not be read. */
  readonly listedVmIds: readonly string[] | undefined;

  /** Processes whose address refused a connection, which proves that they have ended. */
  readonly deadProcessIds: readonly string[];

  /** Processes that have not answered this process for longer than any lease lasts. */
  readonly silentProcessIds: readonly string[];
}

/** What is known about the former holder of a slot. */
export type SlotHistory =
  /** The slot had no holder before. */
  | 'unused'
  /** The former holder released the slot, or its process has ended. */
  | 'gone'
  /** The former holder does not answer, but it may be running behind a network partition. */
  | 'silent';

/** Whether and how a process can get a slot. */
export type SlotDecision =
  /** The process already holds this slot. */
  | {readonly kind: 'held'; readonly slotIndex: number}
  /** The process may take this slot, which no other running process can be using. */
  | {
      readonly kind: 'take';
      readonly slotIndex: number;
      readonly epoch: number;
      readonly history: SlotHistory;
    }
  /** No slot is available. */
  | {readonly kind: 'none'};

/** Decides which slot, if any, the process `self` takes. */
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

/** Gets the slot of the process that ran on this VM and listener before, which must have ended for `self` to start. */
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
  const deadHolderSlot = findSlot(
    map,
    slot =>
      slot.kind === 'held' &&
      isUnlisted(slot.holder.vmId) &&
      evidence.deadProcessIds.includes(slot.holder.processId),
    'gone',
  );
  if (deadHolderSlot !== undefined) return deadHolderSlot;
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
  isMatch: (slot: fleet.Slot) => boolean,
  history: SlotHistory,
): SlotDecision | undefined {
  const slotIndex = map.slots.findIndex(isMatch);
  const slot = map.slots[slotIndex];
  if (slot === undefined) return undefined;
  return {kind: 'take', slotIndex, epoch: slot.epoch + 1, history};
}
