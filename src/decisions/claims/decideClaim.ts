import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as peers from '../../model/peers/index.js';

/** What is known of a claim's holder. */
export type HolderReport =
  | peers.ClaimReport
  /** Nobody answered for the holder. */
  | {readonly kind: 'unreachable'};

/** What to do about a request whose claim is there already. */
export type RepeatDecision =
  /** Sends the stored answer again. */
  | {readonly kind: 'replay'; readonly answer: operations.StoredAnswer}
  /** Asks the process that holds the claim. */
  | {readonly kind: 'askHolder'}
  /** Takes the claim over, as nothing ran under it nor ever will. */
  | {readonly kind: 'replace'}
  | {
      readonly kind: 'refuse';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** Decides about a repeat from the claim alone. */
export function decideRepeat(
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

/** Decides about a repeat from what the holder of the claim says. */
export function decideFromHolder(report: HolderReport): RepeatDecision {
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

/** What came of the one dispatch under a claim. */
export type DispatchOutcome =
  | {readonly kind: 'answered'; readonly answer: operations.StoredAnswer}
  /** The upstream certainly did not run it. */
  | {readonly kind: 'notRun'}
  /** It may have run. */
  | {readonly kind: 'unknown'};

/** What becomes of the claim after its dispatch. */
export type ClaimEnd =
  | {readonly kind: 'write'; readonly state: operations.ClaimState}
  | {readonly kind: 'withdraw'};

/** Decides what becomes of a claim after its dispatch. */
export function decideClaimEnd(outcome: DispatchOutcome): ClaimEnd {
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

/** Whether an operator may settle a claim at the wall-clock time `nowMs`. */
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
