import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as fleet from '../../model/fleet/index.js';
import type * as platform from '../../model/platform/index.js';
import * as platformService from '../platform/index.js';
import type * as records from './PeerRecord.js';

/**
 * A peer that has not answered a heartbeat of this process for more than this time in milliseconds counts as silent.
 * The time is longer than every lease that the peer may still be using.
 */
const SILENCE_THRESHOLD_MS = 10_000;

const MAX_RELEASE_ATTEMPTS = 5;

/** The result of registering a process in the fleet map. */
export type RegistrationResult =
  /** The process holds a slot. */
  | {
      readonly kind: 'slot';
      readonly map: fleet.FleetMap;
      readonly tenure: Omit<decisions.SlotTenure, 'takenAtMs'>;
    }
  /** No slot was available: the process serves without one. */
  | {readonly kind: 'standby'; readonly map: fleet.FleetMap}
  /** Another process changed the map at the same time; the caller reads the map and retries. */
  | {readonly kind: 'conflict'}
  /** No entry was added, or its write could not be verified; the caller retries after its next read of the table. */
  | {readonly kind: 'failed'};

/** Creates the map of a fleet without processes: all slots are free. */
export function createEmptyMap(slotCount: number): fleet.FleetMap {
  const slots = Array.from({length: slotCount}, (): fleet.Slot => ({
    kind: 'free',
    epoch: 0,
  }));
  return {version: 0, slots, standbys: []};
}

/**
 * Adds a process to the fleet map: as the holder of a slot if one is available, otherwise as a standby.
 * @param nowMs The monotonic time in milliseconds.
 */
export async function register(
  services: kernel.ServiceDirectory,
  map: fleet.FleetMap,
  self: fleet.VmRecord,
  peers: readonly records.PeerRecord[],
  nowMs: number,
): Promise<RegistrationResult> {
  const evidence = await collectEvidence(services, peers, nowMs);
  const decision = decisions.decideSlot(map, self, evidence);
  switch (decision.kind) {
    case 'held':
      return createSlotResult(map, decision.slotIndex, 'gone');
    case 'take':
      return await takeSlot(services, map, self, decision);
    case 'none':
      return await addStandby(services, map, self);
  }
}

/** Removes a process from the fleet map. Gives up after `MAX_RELEASE_ATTEMPTS` writes that were not committed. */
export async function unregister(
  services: kernel.ServiceDirectory,
  self: fleet.VmRecord,
): Promise<void> {
  for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt += 1) {
    const map = await readMap(services);
    if (map === undefined) return;
    const next = removeProcess(map, self);
    const result = await writeMap(services, map.version, next);
    if (result.kind === 'committed') return;
  }
}

async function takeSlot(
  services: kernel.ServiceDirectory,
  map: fleet.FleetMap,
  self: fleet.VmRecord,
  decision: Extract<decisions.SlotDecision, {kind: 'take'}>,
): Promise<RegistrationResult> {
  const {slotIndex, epoch, history} = decision;
  const slots = map.slots.map((slot, index): fleet.Slot =>
    index === slotIndex ? {kind: 'held', epoch, holder: self} : slot,
  );
  const standbys = removeVm(map.standbys, self);
  const writeResult = await writeMapAndVerify(
    services,
    map,
    {slots, standbys},
    self,
  );
  if (isFailedWrite(writeResult)) return writeResult;
  if (fleet.getSlotIndex(writeResult, self.processId) !== slotIndex)
    return {kind: 'failed'};
  return createSlotResult(writeResult, slotIndex, history);
}

function createSlotResult(
  map: fleet.FleetMap,
  slotIndex: number,
  history: decisions.SlotHistory,
): RegistrationResult {
  const takenInVersion = map.version;
  return {
    kind: 'slot',
    map,
    tenure: {
      slotIndex,
      history,
      takenInVersion,
      majorityConfirmedAtMs: undefined,
    },
  };
}

async function addStandby(
  services: kernel.ServiceDirectory,
  map: fleet.FleetMap,
  self: fleet.VmRecord,
): Promise<RegistrationResult> {
  if (map.standbys.some(vm => vm.processId === self.processId))
    return {kind: 'failed'};
  const standbys = [...removeVm(map.standbys, self), self];
  const row = {slots: map.slots, standbys};
  const writeResult = await writeMapAndVerify(services, map, row, self);
  if (isFailedWrite(writeResult)) return writeResult;
  return {kind: 'standby', map: writeResult};
}

/** The result of a map write that is not known to have taken effect. */
type FailedWrite = Extract<RegistrationResult, {kind: 'conflict' | 'failed'}>;

function isFailedWrite(
  writeResult: fleet.FleetMap | FailedWrite,
): writeResult is FailedWrite {
  return 'kind' in writeResult;
}

/** Writes the map. When the outcome is unknown, reads the map again to check whether the write took effect. */
async function writeMapAndVerify(
  services: kernel.ServiceDirectory,
  map: fleet.FleetMap,
  row: codecs.FleetRow,
  self: fleet.VmRecord,
): Promise<fleet.FleetMap | FailedWrite> {
  const result = await writeMap(services, map.version, row);
  switch (result.kind) {
    case 'committed':
      return {version: result.version, ...row};
    case 'conflict':
      return {kind: 'conflict'};
    case 'unavailable':
      return {kind: 'failed'};
    case 'outcomeUnknown': {
      const currentMap = await readMap(services);
      const isRegistered =
        currentMap &&
        fleet.getVms(currentMap).some(vm => isSameProcess(vm, self));
      return isRegistered ? currentMap : {kind: 'failed'};
    }
  }
}

async function writeMap(
  services: kernel.ServiceDirectory,
  version: number,
  row: codecs.FleetRow,
): Promise<platform.TransactionResult> {
  const key = codecs.FLEET_ROW_KEY;
  return await services.getOrThrow(platformService.PLATFORM).ask(reply => ({
    kind: 'transact',
    transaction: {
      checks: [{key, version}],
      writes: [{kind: 'put', key, value: JSON.stringify(row)}],
    },
    reply,
  }));
}

async function readMap(
  services: kernel.ServiceDirectory,
): Promise<fleet.FleetMap | undefined> {
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.ReadResult>(reply => ({
      kind: 'read',
      request: {kind: 'keys', keys: [codecs.FLEET_ROW_KEY]},
      reply,
    }));
  if (result.kind === 'unavailable' || result.rows.length === 0)
    return undefined;
  const [row] = result.rows;
  const value = codecs.parseJsonOrThrow(
    codecs.fleetRowSchema,
    row.value,
    'invalidRow',
  );
  return {version: row.version, ...value};
}

async function collectEvidence(
  services: kernel.ServiceDirectory,
  peers: readonly records.PeerRecord[],
  nowMs: number,
): Promise<decisions.SlotEvidence> {
  const vmList = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.VmListResult>(reply => ({kind: 'listVms', reply}));
  const deadPeers = peers.filter(record => record.deadSinceMs !== undefined);
  const silentPeers = peers.filter(
    record =>
      nowMs - Math.max(record.answeredHeartbeatSentAtMs, record.addedAtMs) >
      SILENCE_THRESHOLD_MS,
  );
  return {
    listedVmIds:
      vmList.kind === 'vms' ? vmList.vms.map(vm => vm.vmId) : undefined,
    deadProcessIds: deadPeers.map(record => record.vm.processId),
    silentProcessIds: silentPeers.map(record => record.vm.processId),
  };
}

function removeProcess(
  map: fleet.FleetMap,
  self: fleet.VmRecord,
): codecs.FleetRow {
  const slots = map.slots.map((slot): fleet.Slot =>
    slot.kind === 'held' && isSameProcess(slot.holder, self)
      ? {kind: 'free', epoch: slot.epoch}
      : slot,
  );
  const standbys = map.standbys.filter(vm => !isSameProcess(vm, self));
  return {slots, standbys};
}

function removeVm(
  vms: readonly fleet.VmRecord[],
  self: fleet.VmRecord,
): readonly fleet.VmRecord[] {
  return vms.filter(vm => vm.vmId !== self.vmId);
}

function isSameProcess(vm: fleet.VmRecord, self: fleet.VmRecord): boolean {
  return vm.processId === self.processId;
}
