import type * as entry from '../../model/entry/index.js';

/** Why all rows of a table are to be read. */
export type SnapshotCause =
  /** At the start, after a failed read, and when changes may have been missed. */
  | 'changesMissed'
  /** The store has returned from an older copy; peers may still have rows that it has lost. */
  | 'storeReturned';

/** How a process gets the next changes of the rows of a table. */
export type TableReadMode =
  /** Reads all rows. */
  | {readonly kind: 'snapshot'; readonly cause: SnapshotCause}
  /** Waits for the changes after a position; all changes up to it have been received. */
  | {readonly kind: 'changes'; readonly after: entry.StorePosition};
