/**
 * The history of the store to which an answer belongs. A store that returns from an older copy begins a new timeline, in
 * which it gives out again the versions after the copy.
 */
export type StoreTimeline =
  /** The store names no timelines. */
  | {readonly kind: 'unnumbered'}
  /** Timelines are numbered in the order in which they begin. */
  | {readonly kind: 'numbered'; readonly number: number};

/** A point in the history of the store. Versions of different timelines cannot be compared. */
export interface StorePosition {
  readonly timeline: StoreTimeline;

  /** The store's counter of transactions. */
  readonly version: number;
}

/** What one answer of the store says of its timeline. */
export type TimelineReport =
  /** There was no answer. */
  | {readonly kind: 'noAnswer'}
  | {readonly kind: 'missing'}
  | {readonly kind: 'unreadable'; readonly text: string}
  | {readonly kind: 'numbered'; readonly number: number};
