import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as peers from '../../model/peers/index.js';

/** What the holder of a claim, the process that made it, reports about the claimed action; or that no report came. */
export type HolderReport =
  | peers.ClaimReport
  /** The process that holds the claim did not answer. */
  | {readonly kind: 'unreachable'};

/** How to handle a repeated request: one whose idempotency key has a claim already. */
export type RepeatDecision =
  /** Returns the stored answer of the first request. */
  | {readonly kind: 'replay'; readonly answer: operations.StoredAnswer}
  /** Asks the process that holds the claim what became of the action. */
  | {readonly kind: 'askHolder'}
  /** Replaces the claim: the action did not run under it and never will. */
  | {readonly kind: 'replace'}
  /** Refuses the request with an error. */
  | {
      readonly kind: 'refuse';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** Decides how to handle a repeated request from the stored claim alone. */
export function decideRepeatFromClaim(
  claim: operations.Claim,
  requestDigestHex: string,
): RepeatDecision {
  if (claim.requestDigestHex !== requestDigestHex)
    return refuse(
      'idempotencyKeyReused',
      'the idempotency key came with another request before',
    );
  switch (claim.state.kind) {
    case 'claimed':
      return {kind: 'askHolder'};
    case 'answered':
      return {kind: 'replay', answer: claim.state.answer};
    case 'unknown':
      return refuseUnknown();
    case 'settled':
      return claim.state.hasRun ? refuseSettled() : {kind: 'replace'};
    default:
      return errors.throwUnreachable(claim.state);
  }
}

/** Decides how to handle a repeated request from the report of the process that holds the claim. */
export function decideRepeatFromHolder(report: HolderReport): RepeatDecision {
  switch (report.kind) {
    case 'inProgress':
      return refuse('operationInProgress', 'the action is under way');
    case 'answered':
      return {kind: 'replay', answer: report.answer};
    case 'abandoned':
      return {kind: 'replace'};
    case 'unknown':
    case 'unreachable':
    case 'gone':
      return refuseUnknown();
    default:
      return errors.throwUnreachable(report);
  }
}

/** The outcome of the only dispatch that a claim allows. */
export type DispatchOutcome =
  | {readonly kind: 'answered'; readonly answer: operations.StoredAnswer}
  /** The upstream certainly did not run the action. */
  | {readonly kind: 'notRun'}
  /** The action may have run. */
  | {readonly kind: 'unknown'};

/** The change of a claim after its dispatch: a new state, or the withdrawal of the claim. */
export type ClaimUpdate =
  | {readonly kind: 'write'; readonly state: operations.ClaimState}
  | {readonly kind: 'withdraw'};

/** Decides how a claim changes after its dispatch. */
export function decideClaimUpdate(outcome: DispatchOutcome): ClaimUpdate {
  switch (outcome.kind) {
    case 'answered':
      return {
        kind: 'write',
        state: {kind: 'answered', answer: outcome.answer},
      };
    case 'notRun':
      return {kind: 'withdraw'};
    case 'unknown':
      return {kind: 'write', state: {kind: 'unknown'}};
    default:
      return errors.throwUnreachable(outcome);
  }
}

/** Returns whether an operator may settle a claim at the wall-clock time `nowMs`, in milliseconds. */
export function isSettleable(claim: operations.Claim, nowMs: number): boolean {
  switch (claim.state.kind) {
    case 'claimed':
    case 'unknown':
      return nowMs > claim.dispatchDeadlineMs;
    case 'answered':
    case 'settled':
      return false;
    default:
      return errors.throwUnreachable(claim.state);
  }
}

function refuseUnknown(): RepeatDecision {
  return refuse(
    'outcomeUnknown',
    'the action may have run; an operator can settle it',
  );
}

function refuseSettled(): RepeatDecision {
  return refuse(
    'outcomeUnknown',
    'an operator found that the action has run; its answer is lost',
  );
}

function refuse(error: errors.ErrorKind, message: string): RepeatDecision {
  return {kind: 'refuse', error, message};
}
