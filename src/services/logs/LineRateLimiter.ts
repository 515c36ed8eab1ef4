import type * as events from './EventName.js';

/** Whether a log line is written. */
export type LineDecision =
  | {readonly kind: 'write'}
  /** The line is the first one of a new time window; lines of the previous window were dropped. */
  | {readonly kind: 'writeAfterDrops'; readonly droppedCount: number}
  | {readonly kind: 'drop'};

/** The line counts of one event within one second. */
interface CountingWindow {
  /** Monotonic time in milliseconds. */
  readonly startedAtMs: number;

  readonly writtenCount: number;
  readonly droppedCount: number;
}

const MS_PER_SECOND = 1000;

/** Maximum number of lines per event and second: enough to log every rejected request of a VM at its usual load. */
const MAX_LINES_PER_SECOND = 100;

/**
 * Limits the number of log lines per event and second, so that logging a burst of rejected requests does not slow down
 * the processing of other requests.
 */
export class LineRateLimiter {
  /** The current window of each event. */
  private readonly seconds = new Map<events.EventName, CountingWindow>();

  /** Decides whether a line of an event is written at the monotonic time `nowMs`, in milliseconds. */
  decide(name: events.EventName, nowMs: number): LineDecision {
    const window = this.seconds.get(name);
    if (window === undefined || nowMs - window.startedAtMs >= MS_PER_SECOND) {
      const droppedCount = window?.droppedCount ?? 0;
      this.seconds.set(name, {
        startedAtMs: nowMs,
        writtenCount: 1,
        droppedCount: 0,
      });
      return droppedCount > 0
        ? {kind: 'writeAfterDrops', droppedCount}
        : {kind: 'write'};
    }
    const isWritten = window.writtenCount < MAX_LINES_PER_SECOND;
    this.seconds.set(name, {
      ...window,
      writtenCount: window.writtenCount + (isWritten ? 1 : 0),
      droppedCount: window.droppedCount + (isWritten ? 0 : 1),
    });
    return isWritten ? {kind: 'write'} : {kind: 'drop'};
  }
}
