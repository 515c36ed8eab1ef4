/** A slot whose share of every limit this process controls. */
export interface ControlledSlot {
  readonly slotIndex: number;

  /** Monotonic time in milliseconds from which the share may be used. */
  readonly usableFromMs: number;

  /** Whether no process has used the share before, so that it starts full. */
  readonly isUnused: boolean;
}

/** An event that changes a bucket: the tokens of one organisation at this process. */
export type BucketEvent =
  /** This process spends tokens to admit requests. */
  | {readonly kind: 'admit'; readonly tokens: number}
  /**
   * Another process, the organisation's home, asks to borrow all shares that this process controls, until the
   * monotonic time `deadlineMs`.
   */
  | {
      readonly kind: 'lend';
      readonly borrowerProcessId: string;
      readonly loanSequence: number;
      readonly deadlineMs: number;
    }
  /** A loan of shares from another process has arrived; it ends at the monotonic time `deadlineMs`. */
  | {
      readonly kind: 'borrow';
      readonly lenderProcessId: string;
      readonly slotIndexes: readonly number[];
      readonly levelTokens: number;
      readonly deadlineMs: number;
    }
  /** This process returns all shares that it borrowed from the lender, with their tokens. */
  | {readonly kind: 'returnLoan'; readonly lenderProcessId: string}
  /** A borrower has returned the shares that it was lent for its requests up to `loanSequence`. */
  | {
      readonly kind: 'reclaimLoan';
      readonly borrowerProcessId: string;
      readonly loanSequence: number;
      readonly levelTokens: number;
    }
  /**
   * A borrower's process has ended for certain. Tokens that it granted to other processes can be spent until the
   * monotonic time `grantsDeadlineMs`.
   */
  | {
      readonly kind: 'borrowerDied';
      readonly borrowerProcessId: string;
      readonly grantsDeadlineMs: number;
    }
  /** Another process asks for tokens, which it may spend before the monotonic time `deadlineMs`. */
  | {
      readonly kind: 'grant';
      readonly grantId: string;
      readonly tokens: number;
      readonly deadlineMs: number;
    }
  /** A process has reported how many of the tokens granted to it were not spent. */
  | {
      readonly kind: 'settle';
      readonly grantId: string;
      readonly unspentTokens: number;
    }
  /** The slots that this process controls have changed. */
  | {
      readonly kind: 'control';
      readonly slots: readonly ControlledSlot[];
    };

/** The outcome of an event. */
export type BucketOutcome =
  /** The event was applied; it has no result. */
  | {readonly kind: 'done'}
  /** The tokens were admitted or granted; granted tokens can be spent before the monotonic time `deadlineMs`. */
  | {readonly kind: 'granted'; readonly deadlineMs: number}
  /** The bucket held too few tokens; `retryAtMs` is the monotonic time from which it may hold enough. */
  | {readonly kind: 'refused'; readonly retryAtMs: number}
  /** These shares and tokens have left the bucket, as a loan or as the return of one. */
  | {
      readonly kind: 'sharesMoved';
      readonly slotIndexes: readonly number[];
      readonly levelTokens: number;
    };
