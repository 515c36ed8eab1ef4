import type * as events from './EventName.js';

/** What may be done with a line. */
export type LineDecision =
  | {readonly kind: 'write'}
  /** The first line of a new second, after lines of the seconds before were left out. */
  | {readonly kind: 'writeAfterGap'; readonly leftOutCount: number}
  | {readonly kind: 'leaveOut'};

interface Second {
  readonly startedAtMs: number;
  readonly writtenCount: number;
  readonly leftOutCount: number;
}

const MS_PER_SECOND = 1000;

/** Lines of one event that are written in a second: refusals of a whole VM at its usual load. */
const MAX_LINES_PER_SECOND = 100;

/** Bounds how many lines of each event are written, so that a storm of refusals does not cost the requests. */
export class LineBudget {
  private readonly seconds = new Map<events.EventName, Second>();

  /** Decides about one line at the monotonic time `nowMs`. */
  decide(name: events.EventName, nowMs: number): LineDecision {
    const known = this.seconds.get(name);
    if (known === undefined || nowMs - known.startedAtMs >= MS_PER_SECOND) {
      const leftOutCount = known?.leftOutCount ?? 0;
      this.seconds.set(name, {
        startedAtMs: nowMs,
        writtenCount: 1,
        leftOutCount: 0,
      });
      return leftOutCount > 0
        ? {kind: 'writeAfterGap', leftOutCount}
        : {kind: 'write'};
    }
    const isWritten = known.writtenCount < MAX_LINES_PER_SECOND;
    this.seconds.set(name, {
      ...known,
      writtenCount: known.writtenCount + (isWritten ? 1 : 0),
      leftOutCount: known.leftOutCount + (isWritten ? 0 : 1),
    });
    return isWritten ? {kind: 'write'} : {kind: 'leaveOut'};
  }
}
