/** How a share came to be in a bucket. */
export type ShareOrigin = 'controlled' | 'borrowed';

/** A share that refills the bucket. */
export interface BucketShare {
  readonly slotIndex: number;
  readonly origin: ShareOrigin;

  /** The process that lent the share; empty for a controlled one. */
  readonly lenderProcessId: string;

  /** Monotonic time in milliseconds from which the share refills. */
  readonly fromMs: number;

  /** Monotonic time in milliseconds until which the share refills. */
  readonly untilMs: number;
}

/** A share lent to another process. */
export interface LentShare {
  readonly slotIndex: number;
  readonly borrowerProcessId: string;

  /** The newest request of the borrower that this loan answers. */
  readonly loanSequence: number;

  /** Monotonic time in milliseconds at which the share comes back, empty. */
  readonly deadlineMs: number;
}

/** Tokens handed to another process that have not been reported as spent or given back. */
export interface OutstandingGrant {
  readonly grantId: string;
  readonly tokens: number;

  /** Monotonic time in milliseconds after which the tokens can't be spent. */
  readonly deadlineMs: number;
}

/** One organisation's tokens at one process. */
export interface BucketState {
  readonly levelTokens: number;

  /** Monotonic time in milliseconds up to which the level is counted. */
  readonly countedToMs: number;

  readonly shares: readonly BucketShare[];
  readonly lent: readonly LentShare[];
  readonly grants: readonly OutstandingGrant[];
}

/** An organisation's limits over the whole fleet. */
export interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burstTokens: number;

  /** Into how many shares both are divided. */
  readonly slotCount: number;
}

/** Gets a bucket with no share and no token. */
export function getEmptyBucket(nowMs: number): BucketState {
  return {
    levelTokens: 0,
    countedToMs: nowMs,
    shares: [],
    lent: [],
    grants: [],
  };
}
