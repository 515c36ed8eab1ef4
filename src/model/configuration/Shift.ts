/** A planned gradual move of callers from one region to another over a period of time. */
export interface Shift {
  /** The region whose callers move. */
  readonly fromRegion: string;

  /** The region that the callers move to. */
  readonly toRegion: string;

  /** Wall-clock time at which the move begins, in milliseconds since the Unix epoch. */
  readonly startAtMs: number;

  /** Wall-clock time at which `capFraction` is reached, in milliseconds since the Unix epoch. */
  readonly endAtMs: number;

  /** The maximum fraction of the region's callers that the shift moves, from 0 to 1. */
  readonly capFraction: number;
}
