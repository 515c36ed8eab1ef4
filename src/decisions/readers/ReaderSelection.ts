import type * as entry from '../../model/entry/index.js';
import * as choices from './chooseReaders.js';

/** The number of VMs of a large region that read the store for the others; one may fail without a gap. */
export const READER_COUNT = 2;

/** The number of VMs from which on a region has readers; in smaller regions every VM reads the store. */
export const MIN_REGION_VMS = 30;

/**
 * How long in milliseconds a process must have been serving before it replaces a reader. A reader that restarts would
 * otherwise move the task to another VM and at once back to itself, before it has read anything.
 */
export const READER_ENTRY_DELAY_MS = 10_000;

/** How a VM gets rows of the store. */
export type RowReading =
  /** It reads the store, as every VM of a small region. */
  | {readonly kind: 'independent'}
  /** It reads the store for all VMs of its region. */
  | {readonly kind: 'reader'}
  /** It receives rows from the readers of its region, and reads the store only when they are late. */
  | {readonly kind: 'follower'};

/** The readers of a region, as one VM has chosen them. Read-only: each change creates a new selection. */
export interface ReaderSelection {
  readonly reading: RowReading;
  readonly readerIds: readonly string[];

  /** Monotonic time in milliseconds since which each serving process of the region has been known. */
  readonly servingSinceMs: ReadonlyMap<string, number>;
}

/** The selection before any member is known. */
export const INITIAL_READER_SELECTION: ReaderSelection = {
  reading: {kind: 'independent'},
  readerIds: [],
  servingSinceMs: new Map(),
};

/** The VMs from which readers are chosen. */
export interface ReaderCandidates {
  readonly selfId: string;
  readonly region: string;

  /** The VMs that accept callers. */
  readonly serving: readonly entry.MemberRecord[];

  /** The number of VMs of the region from which a status arrived recently, with this VM and VMs that are leaving. */
  readonly regionVmCount: number;
}

/** Chooses the readers of a VM's region, and how the VM gets its rows. */
export function selectReaders(
  previous: ReaderSelection,
  candidates: ReaderCandidates,
  nowMs: number,
): ReaderSelection {
  const {selfId, region, regionVmCount} = candidates;
  const serving = candidates.serving.filter(member => member.region === region);
  const servingSinceMs = new Map(
    serving.map(({processId}) => [
      processId,
      previous.servingSinceMs.get(processId) ?? nowMs,
    ]),
  );
  if (regionVmCount < MIN_REGION_VMS)
    return {reading: {kind: 'independent'}, readerIds: [], servingSinceMs};
  const isSettled = ({processId}: entry.MemberRecord) =>
    nowMs - (servingSinceMs.get(processId) ?? nowMs) >= READER_ENTRY_DELAY_MS;
  // After a start of the whole region, or of this VM, nobody has been known for long.
  const isStarting = serving.filter(isSettled).length < READER_COUNT;
  const candidateVms = serving.filter(
    member =>
      isStarting ||
      isSettled(member) ||
      previous.readerIds.includes(member.vmId),
  );
  const readerIds = choices
    .chooseReaders(candidateVms, region, READER_COUNT)
    .map(({vmId}) => vmId);
  return {
    reading: {kind: readerIds.includes(selfId) ? 'reader' : 'follower'},
    readerIds,
    servingSinceMs,
  };
}
