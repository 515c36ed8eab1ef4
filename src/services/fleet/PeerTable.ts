import type * as decisions from '../../decisions/index.js';
import * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';
import * as records from './PeerRecord.js';

/** The records of all other processes of the fleet. Times are monotonic, in milliseconds. */
export class PeerTable {
  private readonly recordsByProcessId = new Map<string, records.PeerRecord>();

  /** Gets the record of a process; undefined when there is none. */
  get(processId: string): records.PeerRecord | undefined {
    return this.recordsByProcessId.get(processId);
  }

  /** Gets the records of all processes. */
  getAll(): readonly records.PeerRecord[] {
    return [...this.recordsByProcessId.values()];
  }

  /** Gets the processes that have answered a recent heartbeat. */
  getAlive(nowMs: number): readonly records.PeerRecord[] {
    return this.getAll().filter(record => records.isAlive(record, nowMs));
  }

  /** Gets the processes that have answered a recent heartbeat and accept requests from callers. */
  getServing(nowMs: number): readonly records.PeerRecord[] {
    return this.getAll().filter(record => records.isServing(record, nowMs));
  }

  /** Gets the processes that have certainly terminated. */
  getDead(): readonly decisions.DeadProcess[] {
    return this.getAll().flatMap(({vm, deadSinceMs}) =>
      deadSinceMs === undefined ? [] : [{processId: vm.processId, deadSinceMs}],
    );
  }

  /** Adds records for the processes that are new in a fleet map and deletes those of processes not in it. */
  syncWithMap(map: fleet.FleetMap, selfProcessId: string, nowMs: number): void {
    const others = fleet
      .getVms(map)
      .filter(vm => vm.processId !== selfProcessId);
    const processIds = new Set(others.map(vm => vm.processId));
    for (const processId of this.recordsByProcessId.keys())
      if (!processIds.has(processId)) this.recordsByProcessId.delete(processId);
    for (const vm of others)
      if (!this.recordsByProcessId.has(vm.processId))
        this.recordsByProcessId.set(
          vm.processId,
          records.createPeerRecord(vm, nowMs),
        );
  }

  /** Merges the status that a process reported into its record. */
  updateStatus(status: peers.PeerStatus): void {
    this.updateRecord(status.processId, record => ({
      ...record,
      status: records.mergeStatus(record.status, status),
    }));
  }

  /** Records that a process answered the heartbeat sent at `sentAtMs`. */
  recordHeartbeatAnswer(processId: string, sentAtMs: number): void {
    this.updateRecord(processId, record => ({
      ...record,
      answeredHeartbeatSentAtMs: Math.max(
        record.answeredHeartbeatSentAtMs,
        sentAtMs,
      ),
    }));
  }

  /** Marks a process as terminated. Returns its record, or undefined when it is unknown or already marked. */
  markDead(processId: string, nowMs: number): records.PeerRecord | undefined {
    const record = this.recordsByProcessId.get(processId);
    if (record === undefined || record.deadSinceMs !== undefined)
      return undefined;
    this.recordsByProcessId.set(processId, {...record, deadSinceMs: nowMs});
    return record;
  }

  private updateRecord(
    processId: string,
    getUpdatedRecord: (record: records.PeerRecord) => records.PeerRecord,
  ): void {
    const record = this.recordsByProcessId.get(processId);
    if (record !== undefined)
      this.recordsByProcessId.set(processId, getUpdatedRecord(record));
  }
}
