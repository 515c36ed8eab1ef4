/** A planned move of callers from one region to another, as a function of time. */
export interface Shift {
  /** The region whose callers move. */
  readonly fromRegion: string;

  /** The region that takes them. */
  readonly toRegion: string;

  /** Wall-clock time in milliseconds at which the move begins. */
  readonly startAtMs: number;

  /** Wall-clock time in milliseconds at which the cap is reached. */
  readonly endAtMs: number;

  /** The largest fraction of the callers that may have moved, from 0 to 1. */
  readonly capFraction: number;
}
