import type * as decisions from '../../decisions/index.js';
import * as fleet from '../../model/fleet/index.js';
import type * as peers from '../../model/peers/index.js';
import * as records from './PeerRecord.js';

/** What one process knows of all others. */
export class PeerTable {
  private readonly byProcess = new Map<string, records.PeerRecord>();

  /** Gets what is known of a process, or nothing. */
  get(processId: string): records.PeerRecord | undefined {
    return this.byProcess.get(processId);
  }

  /** Gets what is known of every process. */
  getAll(): readonly records.PeerRecord[] {
    return [...this.byProcess.values()];
  }

  /** Gets the processes that have answered lately. */
  getAlive(nowMs: number): readonly records.PeerRecord[] {
    return this.getAll().filter(record => records.isAlive(record, nowMs));
  }

  /** Gets the processes that have answered lately and take callers. */
  getServing(nowMs: number): readonly records.PeerRecord[] {
    return this.getAll().filter(record => records.isServing(record, nowMs));
  }

  /** Gets the processes that are certainly gone. */
  getDead(): readonly decisions.DeadProcess[] {
    return this.getAll().flatMap(({vm, deadSinceMs}) =>
      deadSinceMs === undefined
        ? []
        : [{processId: vm.processId, sinceMs: deadSinceMs}],
    );
  }

  /** Brings the table in line with a fleet map. */
  update(map: fleet.FleetMap, selfProcessId: string, nowMs: number): void {
    const others = fleet
      .getVms(map)
      .filter(vm => vm.processId !== selfProcessId);
    const processIds = new Set(others.map(vm => vm.processId));
    for (const processId of this.byProcess.keys())
      if (!processIds.has(processId)) this.byProcess.delete(processId);
    for (const vm of others)
      if (!this.byProcess.has(vm.processId))
        this.byProcess.set(vm.processId, records.getNewRecord(vm, nowMs));
  }

  /** Notes what a process says of itself. */
  addStatus(status: peers.PeerStatus): void {
    this.change(status.processId, record => ({
      ...record,
      status: records.mergeStatus(record.status, status),
    }));
  }

  /** Notes that a process answered a heartbeat. */
  addAnswer(processId: string, sentAtMs: number): void {
    this.change(processId, record => ({
      ...record,
      answeredSentAtMs: Math.max(record.answeredSentAtMs, sentAtMs),
    }));
  }

  /** Notes that a process is certainly gone, and gets its record if that is news. */
  addDeath(processId: string, nowMs: number): records.PeerRecord | undefined {
    const record = this.byProcess.get(processId);
    if (record === undefined || record.deadSinceMs !== undefined)
      return undefined;
    this.byProcess.set(processId, {...record, deadSinceMs: nowMs});
    return record;
  }

  private change(
    processId: string,
    getNext: (record: records.PeerRecord) => records.PeerRecord,
  ): void {
    const record = this.byProcess.get(processId);
    if (record !== undefined) this.byProcess.set(processId, getNext(record));
  }
}
