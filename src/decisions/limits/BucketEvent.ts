/** A share that a process controls, and from when. */
export interface ControlledSlot {
  readonly slotIndex: number;

  /** Monotonic time in milliseconds from which the share may be used. */
  readonly usableFromMs: number;

  /** Whether the share has never been used, so that it starts full. */
  readonly isUnused: boolean;
}

/** What can happen to a bucket. */
export type BucketEvent =
  /** Spends tokens here. */
  | {readonly kind: 'admit'; readonly tokens: number}
  /** Another process, the organisation's home, asks for all shares controlled here. */
  | {
      readonly kind: 'lend';
      readonly borrowerProcessId: string;
      readonly loanSequence: number;
      readonly deadlineMs: number;
    }
  /** A loan arrived here. */
  | {
      readonly kind: 'borrow';
      readonly lenderProcessId: string;
      readonly slotIndexes: readonly number[];
      readonly levelTokens: number;
      readonly deadlineMs: number;
    }
  /** Gives all shares borrowed from a process back, with the tokens in them. */
  | {readonly kind: 'giveBack'; readonly lenderProcessId: string}
  /** A borrower gave back what it got in answer to requests up to `loanSequence`. */
  | {
      readonly kind: 'takeBack';
      readonly borrowerProcessId: string;
      readonly loanSequence: number;
      readonly levelTokens: number;
    }
  /**
   * It is certain that the borrower's process is gone. Tokens that it handed out can be
   * spent until `grantsDeadlineMs`, a monotonic time.
   */
  | {
      readonly kind: 'borrowerDied';
      readonly borrowerProcessId: string;
      readonly grantsDeadlineMs: number;
    }
  /** Hands tokens to another process. */
  | {
      readonly kind: 'grant';
      readonly grantId: string;
      readonly tokens: number;
      readonly deadlineMs: number;
    }
  /** A process reported what it did with tokens handed to it. */
  | {
      readonly kind: 'settle';
      readonly grantId: string;
      readonly unspentTokens: number;
    }
  /** The slots controlled here changed. */
  | {
      readonly kind: 'control';
      readonly slots: readonly ControlledSlot[];
    };

/** What comes of an event. */
export type BucketOutcome =
  | {readonly kind: 'done'}
  | {readonly kind: 'granted'; readonly deadlineMs: number}
  /** There were too few tokens; `retryAtMs` is the monotonic time at which there may be enough. */
  | {readonly kind: 'refused'; readonly retryAtMs: number}
  /** The shares and tokens that left the bucket. */
  | {
      readonly kind: 'moved';
      readonly slotIndexes: readonly number[];
      readonly levelTokens: number;
    };
