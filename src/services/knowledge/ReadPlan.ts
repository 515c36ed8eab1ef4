import * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import * as intervals from './intervals.js';
import type * as operatorRows from './OperatorRowsState.js';
import * as schedules from './ReadSchedule.js';
import type * as upstreamRows from './UpstreamRowsState.js';

/** Determines by the age of the rows when this VM reads each table next, and whether it needs a reader's rows. */
export class ReadPlan {
  private readonly bounds: intervals.KnowledgeBounds;
  private readonly schedule: schedules.ReadSchedule;
  private readonly operators: operatorRows.OperatorRowsState;
  private readonly upstreams: upstreamRows.UpstreamRowsState;

  /** Monotonic time in milliseconds at which the region's other reader last read the upstreams' rows. */
  private otherReaderReadAtMs: number | undefined;

  /**
   * @param bounds How soon changed rows must take effect.
   * @param schedule How this VM gets its rows.
   * @param operators The operators' rows.
   * @param upstreams The upstreams' rows.
   */
  constructor(
    bounds: intervals.KnowledgeBounds,
    schedule: schedules.ReadSchedule,
    operators: operatorRows.OperatorRowsState,
    upstreams: upstreamRows.UpstreamRowsState,
  ) {
    this.bounds = bounds;
    this.schedule = schedule;
    this.operators = operators;
    this.upstreams = upstreams;
  }

  /** Records when the region's other reader read the upstreams' rows, by the monotonic time in milliseconds. */
  setOtherReaderReadAtMs(readAtMs: number): void {
    this.otherReaderReadAtMs = readAtMs;
  }

  /** Gets the monotonic time in milliseconds at which the rows of a table are known to have been current. */
  getCurrentAtMs(table: schedules.KnowledgeTable): number {
    switch (table) {
      case 'operators':
        return this.operators.getCurrentAtMs();
      case 'upstreams':
        return this.upstreams.getCurrentAtMs();
      default:
        return errors.throwUnreachable(table);
    }
  }

  /** Gets the monotonic time in milliseconds of the next read of a table. */
  getNextReadAtMs(table: schedules.KnowledgeTable, nowMs: number): number {
    switch (table) {
      case 'operators':
        return this.getNextOperatorReadAtMs(nowMs);
      case 'upstreams':
        return this.getScheduledAtMs(table);
      default:
        return errors.throwUnreachable(table);
    }
  }

  /**
   * Gets the monotonic time in milliseconds of the read of the upstreams' rows after the one sent at `sentAtMs`.
   * One of two readers keeps its reads apart from the other's.
   */
  takeNextPollAtMs(sentAtMs: number, nowMs: number): number {
    const pollAtMs = this.upstreams.getNextPollAtMs(sentAtMs, nowMs);
    const {otherReaderReadAtMs} = this;
    if (otherReaderReadAtMs === undefined || !this.schedule.isReader())
      return pollAtMs;
    this.otherReaderReadAtMs = undefined;
    return decisions.getStaggeredReadAtMs(
      pollAtMs,
      otherReaderReadAtMs,
      intervals.getUpstreamPollIntervalMs(this.bounds),
    );
  }

  /** Whether rows that a reader announces are used; a VM that reads the store uses them only while its own are late. */
  isReaderNeeded(table: schedules.KnowledgeTable, nowMs: number): boolean {
    return (
      this.schedule.isFollower() ||
      this.schedule.getFallbackAtMs(table, this.getCurrentAtMs(table)) < nowMs
    );
  }

  private getNextOperatorReadAtMs(nowMs: number): number {
    // While the store is unavailable, one call in each interval suffices to notice its return.
    const isWaiting =
      this.schedule.isFollower() &&
      this.schedule.isStoreUnavailable() &&
      this.upstreams.isStoreUnreachable();
    if (!isWaiting) return this.getScheduledAtMs('operators');
    return (
      Math.max(nowMs, this.getScheduledAtMs('upstreams')) +
      schedules.MIN_FOLLOW_INTERVAL_MS
    );
  }

  private getScheduledAtMs(table: schedules.KnowledgeTable): number {
    return this.schedule.getNextReadAtMs(table, this.getCurrentAtMs(table));
  }
}
