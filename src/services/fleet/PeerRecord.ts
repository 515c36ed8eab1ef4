import type * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';

/** How long in milliseconds after its last answer a peer counts as alive. */
const ALIVE_TERM_MS = 1200;

/** What one process knows of another. */
export interface PeerRecord {
  readonly vm: fleet.VmRecord;

  /** What it last said of itself. */
  readonly status: peers.PeerStatus | undefined;

  /** Monotonic time in milliseconds at which the last answered heartbeat was sent. */
  readonly answeredSentAtMs: number;

  /** Monotonic time in milliseconds at which it became certain that it is gone. */
  readonly deadSinceMs: number | undefined;

  /** Monotonic time in milliseconds at which it was first known. */
  readonly knownSinceMs: number;
}

/** Gets the record of a process that has not answered yet. */
export function getNewRecord(vm: fleet.VmRecord, nowMs: number): PeerRecord {
  return {
    vm,
    status: undefined,
    answeredSentAtMs: -Infinity,
    deadSinceMs: undefined,
    knownSinceMs: nowMs,
  };
}

/** Gets the newer of two words of one process, in whichever order they came. */
export function mergeStatus(
  known: peers.PeerStatus | undefined,
  heard: peers.PeerStatus,
): peers.PeerStatus {
  if (known === undefined) return heard;
  return {
    ...heard,
    configurationVersion: Math.max(
      known.configurationVersion,
      heard.configurationVersion,
    ),
    fleetVersion: Math.max(known.fleetVersion, heard.fleetVersion),
    isStopping: known.isStopping || heard.isStopping,
  };
}

/** Whether the peer has answered lately. */
export function isAlive(record: PeerRecord, nowMs: number): boolean {
  if (record.deadSinceMs !== undefined) return false;
  return nowMs - record.answeredSentAtMs < ALIVE_TERM_MS;
}

/** Whether the peer has answered lately and takes callers. */
export function isServing(record: PeerRecord, nowMs: number): boolean {
  return isAlive(record, nowMs) && record.status?.isStopping === false;
}
