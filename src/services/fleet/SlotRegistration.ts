import * as codecs from '../../codecs/index.js';
import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as fleet from '../../model/fleet/index.js';
import type * as platform from '../../model/platform/index.js';
import * as platformService from '../platform/index.js';
import type * as records from './PeerRecord.js';

/** How long in milliseconds a peer must have answered nobody here to count as silent. */
const SILENCE_MS = 10_000;

const RELEASE_ATTEMPTS = 5;

/** How the entry of a process into the fleet ended. */
export type RegistrationResult =
  | {
      readonly kind: 'slot';
      readonly map: fleet.FleetMap;
      readonly tenure: Omit<decisions.SlotTenure, 'takenAtMs'>;
    }
  | {readonly kind: 'standby'; readonly map: fleet.FleetMap}
  /** Another process changed the map at the same time. */
  | {readonly kind: 'raced'}
  /** The caller tries again after its next read. */
  | {readonly kind: 'failed'};

/** Gets the map of a fleet that nobody has entered. */
export function getNewMap(slotCount: number): fleet.FleetMap {
  const slots = Array.from({length: slotCount}, (): fleet.Slot => ({
    kind: 'free',
    epoch: 0,
  }));
  return {version: 0, slots, standbys: []};
}

/** Enters a process into the fleet map, with a slot if one can be had. */
export async function register(
  services: kernel.ServiceDirectory,
  map: fleet.FleetMap,
  self: fleet.VmRecord,
  peers: readonly records.PeerRecord[],
  nowMs: number,
): Promise<RegistrationResult> {
  const evidence = await getEvidence(services, peers, nowMs);
  const decision = decisions.decideSlot(map, self, evidence);
  switch (decision.kind) {
    case 'held':
      return getSlotResult(map, decision.slotIndex, 'gone');
    case 'take':
      return await takeSlot(services, map, self, decision);
    case 'none':
      return await addStandby(services, map, self);
  }
}

/** Takes a process out of the fleet map. */
export async function unregister(
  services: kernel.ServiceDirectory,
  self: fleet.VmRecord,
): Promise<void> {
  for (let attempt = 0; attempt < RELEASE_ATTEMPTS; attempt += 1) {
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
  const standbys = withoutVm(map.standbys, self);
  const written = await settleWrite(services, map, {slots, standbys}, self);
  if (isLost(written)) return written;
  if (fleet.getSlotIndex(written, self.processId) !== slotIndex)
    return {kind: 'failed'};
  return getSlotResult(written, slotIndex, history);
}

function getSlotResult(
  map: fleet.FleetMap,
  slotIndex: number,
  history: decisions.SlotHistory,
): RegistrationResult {
  const takenInVersion = map.version;
  return {
    kind: 'slot',
    map,
    tenure: {slotIndex, history, takenInVersion, knownAtMs: undefined},
  };
}

async function addStandby(
  services: kernel.ServiceDirectory,
  map: fleet.FleetMap,
  self: fleet.VmRecord,
): Promise<RegistrationResult> {
  if (map.standbys.some(vm => vm.processId === self.processId))
    return {kind: 'failed'};
  const standbys = [...withoutVm(map.standbys, self), self];
  const row = {slots: map.slots, standbys};
  const written = await settleWrite(services, map, row, self);
  if (isLost(written)) return written;
  return {kind: 'standby', map: written};
}

/** A write of the map that did not take effect. */
type LostWrite = Extract<RegistrationResult, {kind: 'raced' | 'failed'}>;

function isLost(written: fleet.FleetMap | LostWrite): written is LostWrite {
  return 'kind' in written;
}

/** Writes the map; when the answer is lost, reads back whether the write took effect. */
async function settleWrite(
  services: kernel.ServiceDirectory,
  map: fleet.FleetMap,
  row: codecs.FleetRow,
  self: fleet.VmRecord,
): Promise<fleet.FleetMap | LostWrite> {
  const result = await writeMap(services, map.version, row);
  switch (result.kind) {
    case 'committed':
      return {version: result.version, ...row};
    case 'conflict':
      return {kind: 'raced'};
    case 'unavailable':
      return {kind: 'failed'};
    case 'outcomeUnknown': {
      const read = await readMap(services);
      const isIn = read && fleet.getVms(read).some(vm => isProcess(vm, self));
      return isIn ? read : {kind: 'failed'};
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

async function getEvidence(
  services: kernel.ServiceDirectory,
  peers: readonly records.PeerRecord[],
  nowMs: number,
): Promise<decisions.SlotEvidence> {
  const listed = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.VmListResult>(reply => ({kind: 'listVms', reply}));
  const dead = peers.filter(record => record.deadSinceMs !== undefined);
  const silent = peers.filter(
    record =>
      nowMs - Math.max(record.answeredSentAtMs, record.knownSinceMs) >
      SILENCE_MS,
  );
  return {
    listedVmIds:
      listed.kind === 'vms' ? listed.vms.map(vm => vm.vmId) : undefined,
    deadProcessIds: dead.map(record => record.vm.processId),
    silentProcessIds: silent.map(record => record.vm.processId),
  };
}

function removeProcess(
  map: fleet.FleetMap,
  self: fleet.VmRecord,
): codecs.FleetRow {
  const slots = map.slots.map((slot): fleet.Slot =>
    slot.kind === 'held' && isProcess(slot.holder, self)
      ? {kind: 'free', epoch: slot.epoch}
      : slot,
  );
  const standbys = map.standbys.filter(vm => !isProcess(vm, self));
  return {slots, standbys};
}

function withoutVm(
  vms: readonly fleet.VmRecord[],
  self: fleet.VmRecord,
): readonly fleet.VmRecord[] {
  return vms.filter(vm => vm.vmId !== self.vmId);
}

function isProcess(vm: fleet.VmRecord, self: fleet.VmRecord): boolean {
  return vm.processId === self.processId;
}
