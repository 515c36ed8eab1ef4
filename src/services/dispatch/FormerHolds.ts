import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

/**
 * How long the hold of an upstream without a row is kept: longer than an outage of the store, during which rows expire,
 * and than an upstream goes on serving after its row was removed.
 */
const RETENTION_MS = 600_000;

interface FormerHold {
  readonly start: entry.UpstreamStart;
  readonly hold: decisions.UpstreamHold;

  /** Monotonic time in milliseconds. */
  readonly expiresAtMs: number;
}

/** The holds of upstreams that have no row at present, so that a row that comes back does not release its upstream. */
export class FormerHolds {
  private readonly holds = new Map<string, FormerHold>();

  /** Keeps the hold on a start of an upstream. A start at an unknown time can't be told from a later one. */
  add(
    start: entry.UpstreamStart,
    hold: decisions.UpstreamHold,
    nowMs: number,
  ): void {
    for (const [upstreamId, {expiresAtMs}] of this.holds) {
      if (expiresAtMs > nowMs) break;
      this.holds.delete(upstreamId);
    }
    if (start.startedAtMs === 0 || !decisions.isHeld(hold, nowMs)) return;
    // Deleted first, so that the entries stay in the order of their expiry.
    this.holds.delete(start.upstreamId);
    this.holds.set(start.upstreamId, {
      start,
      hold,
      expiresAtMs: nowMs + RETENTION_MS,
    });
  }

  /** Removes and returns the hold on a start of an upstream. */
  take(start: entry.UpstreamStart, nowMs: number): decisions.UpstreamHold {
    const former = this.holds.get(start.upstreamId);
    if (former === undefined) return decisions.NO_HOLD;
    this.holds.delete(start.upstreamId);
    const isValid =
      nowMs < former.expiresAtMs && isSameStart(former.start, start);
    return isValid ? former.hold : decisions.NO_HOLD;
  }
}

/** Whether two values name the same start of an upstream. */
export function isSameStart(
  a: entry.UpstreamStart,
  b: entry.UpstreamStart,
): boolean {
  return (
    a.upstreamId === b.upstreamId &&
    a.host === b.host &&
    a.port === b.port &&
    a.startedAtMs === b.startedAtMs
  );
}
