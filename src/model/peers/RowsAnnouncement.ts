import type * as entry from '../entry/index.js';

/** A time on the monotonic clock of one process. Times of different epochs cannot be compared. */
export interface ClockStamp {
  /** Increases each time the process's VM was suspended, during which the clock stands still. */
  readonly epoch: number;
  readonly atMs: number;
}

/** The last answer of a receiver, by which it bounds how far the reader's clock is from its own. */
export interface ClockEcho {
  /** The receiver's time when it answered. */
  readonly receiver: ClockStamp;

  /** The reader's time when the answer arrived. */
  readonly readerAtMs: number;
}

/** Which of the upstreams' rows an announcement holds. */
export type RowsExtent =
  /** None: the receiver has acknowledged this step, or has acknowledged nothing yet. */
  | {readonly kind: 'unchanged'}
  /** The rows that have changed since a step that the receiver has acknowledged. */
  | {
      readonly kind: 'changes';
      readonly fromStep: number;
      readonly removedIds: readonly string[];
    }
  /** All rows. */
  | {readonly kind: 'all'};

/** The upstreams' rows after a reader's latest successful read. */
export interface UpstreamsAnnouncement {
  /** Increases each time rows change in more than their revision and remaining cold time. */
  readonly step: number;

  /** The reader's time at which the read was sent. */
  readonly currentAtMs: number;
  readonly extent: RowsExtent;

  /** The rows of `extent`, and always their position and the expired ids. */
  readonly rows: entry.UpstreamRows;
}

/** The operators' rows after a reader's latest successful read. */
export interface OperatorsAnnouncement {
  readonly position: entry.StorePosition;

  /** The reader's time up to which the rows were current. */
  readonly currentAtMs: number;

  /** Undefined when the receiver has acknowledged this position. */
  readonly rows?: entry.OperatorRows | undefined;
}

/** What a reader sends to the VMs of its region after each read of the store. */
export interface RowsAnnouncement {
  readonly readerId: string;
  readonly processId: string;

  /** The reader's time when the announcement was written. */
  readonly clock: ClockStamp;
  readonly echo?: ClockEcho | undefined;

  /** Whether the reader's last read of the store succeeded. */
  readonly isStoreAvailable: boolean;
  readonly upstreams?: UpstreamsAnnouncement | undefined;
  readonly operators?: OperatorsAnnouncement | undefined;
}

/** What a VM has of a reader's rows after an announcement; the reader sends what is missing. */
export interface RowsReceipt {
  readonly clock: ClockStamp;

  /** Undefined when the receiver needs all rows. */
  readonly upstreamStep?: number | undefined;
  readonly operatorPosition?: entry.StorePosition | undefined;
}
