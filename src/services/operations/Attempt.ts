import type * as operations from '../../model/operations/index.js';

/** How far an attempt of this process has come. */
export type AttemptState =
  /** The table has not answered yet. */
  | {readonly kind: 'claiming'}
  /** The claim is stored; nothing was dispatched. */
  | {readonly kind: 'claimed'}
  | {readonly kind: 'dispatched'}
  | {readonly kind: 'answered'; readonly answer: operations.StoredAnswer}
  /** It was never dispatched and never will be. */
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'unknown'};

/** One attempt of this process to run an action. */
export interface Attempt {
  readonly rowKey: string;
  readonly claim: operations.Claim;

  /** The version of the claim's row, once it is known. */
  readonly rowVersion: number | undefined;

  readonly state: AttemptState;

  /** Whether the table has yet to learn how the attempt ended. */
  readonly isUnstored: boolean;

  /** Monotonic time in milliseconds after which the attempt is forgotten, once it is stored. */
  readonly forgetAtMs: number;
}
