/** Whether this process controls a share itself or borrowed it from another process. */
export type ShareOrigin = 'controlled' | 'borrowed';

/** A share of the organisation's limits that refills the bucket. */
export interface BucketShare {
  readonly slotIndex: number;
  readonly origin: ShareOrigin;

  /** The process that lent the share; empty for a controlled share. */
  readonly lenderProcessId: string;

  /** Monotonic time in milliseconds from which the share refills the bucket. */
  readonly fromMs: number;

  /** Monotonic time in milliseconds until which the share refills the bucket. */
  readonly untilMs: number;
}

/** A share lent to another process. */
export interface LentShare {
  readonly slotIndex: number;
  readonly borrowerProcessId: string;

  /** The sequence number of the borrower's latest request for this loan. */
  readonly loanSequence: number;

  /** Monotonic time in milliseconds at which the loan ends and the share returns to the bucket without tokens. */
  readonly deadlineMs: number;
}

/** Tokens granted to another process that has not reported yet how many it spent. */
export interface OutstandingGrant {
  readonly grantId: string;
  readonly tokens: number;

  /** Monotonic time in milliseconds after which the tokens can no longer be spent. */
  readonly deadlineMs: number;
}

/** One organisation's token bucket at one process. */
export interface BucketState {
  readonly levelTokens: number;

  /** Monotonic time in milliseconds up to which `levelTokens` includes all refills and expiries. */
  readonly updatedAtMs: number;

  readonly shares: readonly BucketShare[];
  readonly lent: readonly LentShare[];
  readonly grants: readonly OutstandingGrant[];
}

/** An organisation's rate limit and burst over the whole fleet. */
export interface BucketLimits {
  readonly ratePerSecond: number;
  readonly burstTokens: number;

  /** The number of equal shares into which the rate and the burst are divided, one for each slot. */
  readonly slotCount: number;
}

/** Gets a bucket without shares and tokens at the monotonic time `nowMs`. */
export function getEmptyBucket(nowMs: number): BucketState {
  return {
    levelTokens: 0,
    updatedAtMs: nowMs,
    shares: [],
    lent: [],
    grants: [],
  };
}
