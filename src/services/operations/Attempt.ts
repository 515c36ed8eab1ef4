import type * as operations from '../../model/operations/index.js';

/** The state of an attempt of this process to run an action. */
export type AttemptState =
  /** The claim is being written; the table has not answered yet. */
  | {readonly kind: 'claiming'}
  /** The claim is stored; the action has not been dispatched yet. */
  | {readonly kind: 'claimed'}
  /** The action was sent to an upstream, or is about to be. */
  | {readonly kind: 'dispatched'}
  /** An upstream ran the action; its answer can be returned to repeated requests. */
  | {readonly kind: 'answered'; readonly answer: operations.StoredAnswer}
  /** The action was not run in this attempt and never will be. */
  | {readonly kind: 'abandoned'}
  /** The action was dispatched; whether it ran, or its answer, is not known. */
  | {readonly kind: 'unknown'};

/** An attempt of this process to run an action at most once. */
export interface Attempt {
  /** The key of the claim's row in the platform's table. */
  readonly rowKey: string;

  readonly claim: operations.Claim;

  /** The version of the claim's row; undefined until the claim is written. */
  readonly rowVersion: number | undefined;

  readonly state: AttemptState;

  /** Whether the outcome of the attempt is not yet stored in the platform's table. */
  readonly isOutcomePending: boolean;

  /** Monotonic time in milliseconds after which the attempt is deleted from memory; Infinity until it is stored. */
  readonly expiresAtMs: number;
}
