import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as peers from '../../model/peers/index.js';

/** An action that may run at most once, as a caller asked for it. */
export interface OperationRequest {
  readonly organisationId: string;
  readonly keyDigestHex: string;
  readonly requestDigestHex: string;

  /** Names the attempt. */
  readonly attemptId: string;

  /** Wall-clock time in milliseconds after which it may not be dispatched. */
  readonly dispatchDeadlineMs: number;
}

/** Whether an action may be dispatched. */
export type BeginResult =
  /** The attempt holds the claim and must be ended by `finish`. */
  | {readonly kind: 'proceed'}
  | {readonly kind: 'replay'; readonly answer: operations.StoredAnswer}
  | {
      readonly kind: 'refused';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** How the reading of claims ended. */
export type OperationsResult =
  | {readonly kind: 'claims'; readonly claims: readonly operations.Claim[]}
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** How an operator's word on a claim ended. */
export type SettleResult =
  | {readonly kind: 'settled'}
  | {readonly kind: 'failed'; readonly error: errors.BramleyrunError};

/** What the operations service takes. */
export type OperationsMessage =
  | {
      readonly kind: 'begin';
      readonly request: OperationRequest;
      readonly reply: kernel.Reply<BeginResult>;
    }
  /** Whether the attempt may be dispatched at this moment; it is asked once, just before. */
  | {
      readonly kind: 'dispatch';
      readonly attemptId: string;
      readonly reply: kernel.Reply<boolean>;
    }
  | {
      readonly kind: 'finish';
      readonly attemptId: string;
      readonly outcome: decisions.DispatchOutcome;
    }
  | {
      readonly kind: 'peerRequest';
      readonly request: Extract<peers.PeerRequest, {kind: 'askClaim'}>;
      readonly reply: kernel.Reply<peers.PeerAnswer>;
    }
  | {
      readonly kind: 'list';
      readonly limit: number;
      readonly reply: kernel.Reply<OperationsResult>;
    }
  | {
      readonly kind: 'settle';
      readonly organisationId: string;
      readonly keyDigestHex: string;
      readonly operatorId: string;
      readonly hasRun: boolean;
      readonly reply: kernel.Reply<SettleResult>;
    }
  | {readonly kind: 'tick'}
  /** Resolves once every ended attempt is stored. */
  | {readonly kind: 'drain'; readonly reply: kernel.Reply<void>};

/** The operations service. */
export const OPERATIONS =
  kernel.getServiceName<OperationsMessage>('operations');
