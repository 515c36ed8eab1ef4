import * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import * as intervals from './intervals.js';

/** The shortest time in milliseconds between the starts of two calls that read the operators' rows. */
export const MIN_FOLLOW_INTERVAL_MS = 250;

/** The shortest time in milliseconds between the starts of a failed read of the upstreams' rows and the next one. */
export const MIN_UPSTREAM_RETRY_INTERVAL_MS = 250;

/** The tables that a VM reads or gets from readers. */
export type KnowledgeTable = 'operators' | 'upstreams';

/** Determines when this VM reads each table itself: always, or only while readers do not announce its rows in time. */
export class ReadSchedule {
  private readonly bounds: intervals.KnowledgeBounds;
  private readonly phase: number;
  private readonly triedAtMs: Record<KnowledgeTable, number> = {
    operators: -Infinity,
    upstreams: -Infinity,
  };
  private reading: decisions.RowReading = {kind: 'independent'};
  private isStoreSaidUnavailable = false;

  /**
   * @param bounds How soon changed rows must take effect.
   * @param phase A random number from 0 to below 1, by which VMs differ in when they try an unavailable store.
   */
  constructor(bounds: intervals.KnowledgeBounds, phase: number) {
    this.bounds = bounds;
    this.phase = phase;
  }

  /** Sets how this VM gets its rows. Returns whether that differs from before. */
  setReading(
    reading: decisions.RowReading,
    isStoreSaidUnavailable: boolean,
  ): boolean {
    const isOther = reading.kind !== this.reading.kind;
    this.reading = reading;
    this.isStoreSaidUnavailable = isStoreSaidUnavailable;
    return isOther;
  }

  /** Whether this VM gets its rows from readers. */
  isFollower(): boolean {
    return this.reading.kind === 'follower';
  }

  /** Whether this VM reads the store for others. */
  isReader(): boolean {
    return this.reading.kind === 'reader';
  }

  /** Whether the readers say that the store is unavailable. */
  isStoreUnavailable(): boolean {
    return this.isStoreSaidUnavailable;
  }

  /** Records that a read of a table was sent. */
  recordRead(table: KnowledgeTable, sentAtMs: number): void {
    this.triedAtMs[table] = sentAtMs;
  }

  /** Gets the monotonic time in milliseconds of the next read of a table whose rows were current at `currentAtMs`. */
  getNextReadAtMs(table: KnowledgeTable, currentAtMs: number): number {
    switch (this.reading.kind) {
      case 'follower':
        return this.getFallbackAtMs(table, currentAtMs);
      case 'independent':
      case 'reader':
        return this.getRegularAtMs(table, currentAtMs);
      default:
        return errors.throwUnreachable(this.reading);
    }
  }

  /** Gets the monotonic time in milliseconds from which the rows of a table count as later than a reader's. */
  getFallbackAtMs(table: KnowledgeTable, currentAtMs: number): number {
    return decisions.getOwnReadAtMs({
      ...this.getTableBounds(table),
      currentAtMs,
      triedAtMs: this.triedAtMs[table],
      isStoreUnavailable: this.isStoreSaidUnavailable,
      phase: this.phase,
    });
  }

  private getRegularAtMs(table: KnowledgeTable, currentAtMs: number): number {
    const triedAtMs = this.triedAtMs[table];
    switch (table) {
      case 'operators':
        return triedAtMs + MIN_FOLLOW_INTERVAL_MS;
      case 'upstreams':
        return Math.max(
          triedAtMs + MIN_UPSTREAM_RETRY_INTERVAL_MS,
          currentAtMs + intervals.getUpstreamPollIntervalMs(this.bounds),
        );
      default:
        return errors.throwUnreachable(table);
    }
  }

  private getTableBounds(
    table: KnowledgeTable,
  ): Pick<
    decisions.FollowedTable,
    'readerIntervalMs' | 'retryIntervalMs' | 'maxDelayMs'
  > {
    const {bounds} = this;
    switch (table) {
      case 'operators':
        return {
          readerIntervalMs: intervals.getFollowWaitMs(bounds),
          retryIntervalMs: MIN_FOLLOW_INTERVAL_MS,
          maxDelayMs: bounds.maxConfigurationDelayMs,
        };
      case 'upstreams':
        return {
          readerIntervalMs: intervals.getUpstreamPollIntervalMs(bounds),
          retryIntervalMs: MIN_UPSTREAM_RETRY_INTERVAL_MS,
          maxDelayMs: bounds.maxDrainDelayMs,
        };
      default:
        return errors.throwUnreachable(table);
    }
  }
}
