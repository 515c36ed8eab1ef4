import type * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';

/** Time in milliseconds after its last answered heartbeat was sent for which a peer counts as alive. */
const ALIVE_TIMEOUT_MS = 1200;

/** The state of another process of the fleet. */
export interface PeerRecord {
  readonly vm: fleet.VmRecord;

  /** The status that the process last reported; undefined before its first report. */
  readonly status: peers.PeerStatus | undefined;

  /** Monotonic time in milliseconds at which the last answered heartbeat was sent; -Infinity before the first one. */
  readonly answeredHeartbeatSentAtMs: number;

  /** Monotonic time in milliseconds at which the process was found to have terminated; undefined until then. */
  readonly deadSinceMs: number | undefined;

  /** Monotonic time in milliseconds at which the record was created. */
  readonly addedAtMs: number;
}

/** Creates the record of a process that has not answered yet. */
export function createPeerRecord(
  vm: fleet.VmRecord,
  nowMs: number,
): PeerRecord {
  return {
    vm,
    status: undefined,
    answeredHeartbeatSentAtMs: -Infinity,
    deadSinceMs: undefined,
    addedAtMs: nowMs,
  };
}

/** Merges two status reports of one process, which may have arrived out of order: versions never decrease. */
export function mergeStatus(
  current: peers.PeerStatus | undefined,
  received: peers.PeerStatus,
): peers.PeerStatus {
  if (current === undefined) return received;
  return {
    ...received,
    configurationVersion: Math.max(
      current.configurationVersion,
      received.configurationVersion,
    ),
    fleetVersion: Math.max(current.fleetVersion, received.fleetVersion),
    isStopping: current.isStopping || received.isStopping,
  };
}

/** Whether the peer has answered a recent heartbeat. */
export function isAlive(record: PeerRecord, nowMs: number): boolean {
  if (record.deadSinceMs !== undefined) return false;
  return nowMs - record.answeredHeartbeatSentAtMs < ALIVE_TIMEOUT_MS;
}

/** Whether the peer has answered a recent heartbeat and accepts requests from callers. */
export function isServing(record: PeerRecord, nowMs: number): boolean {
  return isAlive(record, nowMs) && record.status?.isStopping === false;
}
