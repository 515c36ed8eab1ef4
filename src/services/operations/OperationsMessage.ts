import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as peers from '../../model/peers/index.js';

/** A caller's request for an action that may run at most once. */
export interface OperationRequest {
  readonly organisationId: string;
  /** The SHA-256 digest of the caller's idempotency key, in hexadecimal. */
  readonly keyDigestHex: string;

  /** The SHA-256 digest of the request, in hexadecimal; requests with the same key must have the same digest. */
  readonly requestDigestHex: string;

  /** The id of this attempt to run the action. */
  readonly attemptId: string;

  /** Wall-clock time in milliseconds after which the action must not be dispatched. */
  readonly dispatchDeadlineMs: number;
}

/** Whether an action may be dispatched. */
export type BeginResult =
  /** The attempt holds the claim; if it is dispatched, its outcome must be reported with `finish`. */
  | {readonly kind: 'proceed'}
  /** An earlier attempt ran the action; its stored answer is returned. */
  | {readonly kind: 'replay'; readonly answer: operations.StoredAnswer}
  | {
      readonly kind: 'refused';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** The result of reading claims. */
export type OperationsResult =
  | {readonly kind: 'claims'; readonly claims: readonly operations.Claim[]}
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** The result of settling a claim, that is, of an operator's decision whether the action has run. */
export type SettleResult =
  | {readonly kind: 'settled'}
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** The messages that the operations service accepts. */
export type OperationsMessage =
  /** Claims an action for an attempt, or returns the result of an earlier attempt. */
  | {
      readonly kind: 'begin';
      readonly request: OperationRequest;
      readonly reply: kernel.Reply<BeginResult>;
    }
  /**
   * Replies whether a claimed action may be dispatched now. It must be sent once, immediately before the dispatch: the
   * attempt counts as dispatched from then on.
   */
  | {
      readonly kind: 'dispatch';
      readonly attemptId: string;
      readonly reply: kernel.Reply<boolean>;
    }
  /** Reports the outcome of a dispatched attempt, which is then stored in the table. */
  | {
      readonly kind: 'finish';
      readonly attemptId: string;
      readonly outcome: decisions.DispatchOutcome;
    }
  /** A peer asks for the state of an attempt of this process. */
  | {
      readonly kind: 'peerRequest';
      readonly request: Extract<peers.PeerRequest, {kind: 'askClaim'}>;
      readonly reply: kernel.Reply<peers.PeerAnswer>;
    }
  /** Returns up to `limit` claims in the order of their row keys. */
  | {
      readonly kind: 'list';
      readonly limit: number;
      readonly reply: kernel.Reply<OperationsResult>;
    }
  /** Records an operator's decision whether an action with an unknown outcome has run. */
  | {
      readonly kind: 'settle';
      readonly organisationId: string;
      readonly keyDigestHex: string;
      readonly operatorId: string;
      readonly hasRun: boolean;
      readonly reply: kernel.Reply<SettleResult>;
    }
  | {readonly kind: 'tick'}
  /** Replies once no attempt is in progress and the outcomes of all dispatched attempts are stored. */
  | {readonly kind: 'drain'; readonly reply: kernel.Reply<void>};

/** The service that makes sure that at-most-once actions are not run twice. */
export const OPERATIONS =
  kernel.createServiceName<OperationsMessage>('operations');
