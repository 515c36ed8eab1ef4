import * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as quarantineService from '../quarantine/QuarantineMessage.js';
import type * as messages from './DispatchMessage.js';
import * as steps from './decideStep.js';
import type * as connections from './UpstreamConnections.js';

/** A request with less remaining time than this is not sent to an upstream. */
const MIN_REMAINING_MS = 30;

/** The number of attempts that do not count because the request did not leave this VM. */
const MAX_UNSENT_ATTEMPTS = 4;

/** What the attempts to send one request have left so far. */
export interface DispatchProgress {
  /** The number of attempts that count towards the route's maximum. */
  readonly attemptCount: number;

  /** The number of attempts that did not count, as the request did not leave this VM. */
  readonly unsentCount: number;

  /** The upstreams that were tried, in order. */
  readonly triedUpstreamIds: readonly string[];

  /** The failure to report if no further attempt is made. */
  readonly failure: steps.Failure | undefined;
}

/** The progress of a request before its first attempt. */
export const NO_ATTEMPTS: DispatchProgress = {
  attemptCount: 0,
  unsentCount: 0,
  triedUpstreamIds: [],
  failure: undefined,
};

/** How the dispatch of a request ends. */
export type DispatchEnd =
  | Extract<messages.DispatchOutcome, {kind: 'answered' | 'abandoned'}>
  /** The caller gets an error: the request is refused, or its last attempt failed. */
  | {readonly kind: 'failed'; readonly failure: steps.Failure};

/** What to do before an attempt. */
export type StartStep =
  /** Ask the quarantine whether the attempt may begin. */
  {readonly kind: 'askQuarantine'} | DispatchEnd;

/** What to do once the quarantine has answered. */
export type AdmissionStep =
  /** Choose an upstream; for a retry, one is taken from the service's budget. */
  | {
      readonly kind: 'place';
      readonly purpose: 'first' | 'retry';
      readonly mark: decisions.AttemptMark;
    }
  | DispatchEnd;

/** What to do once an upstream has been looked for. */
export type PlacementStep =
  | {
      readonly kind: 'send';
      readonly placement: Extract<decisions.Placement, {kind: 'chosen'}>;
    }
  | DispatchEnd;

/** What to do before waiting for an upstream. */
export type FirstPlacementStep =
  | {
      readonly kind: 'wait';
      readonly placement: Extract<decisions.Placement, {kind: 'crowded'}>;
    }
  | PlacementStep;

/** What to do after an attempt. */
export type AttemptStep =
  /** Begin again with another upstream, unless `decideStart` ends the dispatch. */
  {readonly kind: 'retry'; readonly progress: DispatchProgress} | DispatchEnd;

const ASK_QUARANTINE: StartStep = {kind: 'askQuarantine'};

/**
 * Decides whether another attempt may begin.
 *
 * @param maxUpstreams The route's maximum of attempts; at least one is made.
 * @param isAbandoned Whether the caller has disconnected, or the request was cut off.
 * @param remainingMs The time in milliseconds that an upstream would get.
 */
export function decideStart(
  {attemptCount, failure}: DispatchProgress,
  maxUpstreams: number,
  isAbandoned: boolean,
  remainingMs: number,
): StartStep {
  if (attemptCount >= Math.max(1, maxUpstreams)) return end(failure);
  if (isAbandoned) return steps.getAbandonedOutcome('placing', failure);
  return remainingMs < MIN_REMAINING_MS ? end(failure) : ASK_QUARANTINE;
}

/**
 * Decides whether to look for an upstream after the answer of the quarantine.
 *
 * @param retryBudget The service's retry budget; undefined if the service is unknown, which is not retried.
 */
export function decideAfterAdmission(
  {attemptCount, failure}: DispatchProgress,
  admission: quarantineService.AttemptAdmission,
  retryBudget: decisions.ServiceRetryBudget | undefined,
): AdmissionStep {
  switch (admission.kind) {
    case 'quarantined':
      return fail(failure, steps.getQuarantineFailure(admission.crashCount));
    case 'admitted': {
      const {mark} = admission;
      if (attemptCount === 0) return {kind: 'place', purpose: 'first', mark};
      return retryBudget !== undefined &&
        decisions.isServiceRetryAllowed(retryBudget)
        ? {kind: 'place', purpose: 'retry', mark}
        : end(failure);
    }
    default:
      return errors.throwUnreachable(admission);
  }
}

/** Decides whether to wait for an upstream, to send the request or to refuse it. */
export function decideAfterPlacement(
  progress: DispatchProgress,
  placement: decisions.Placement,
): FirstPlacementStep {
  return placement.kind === 'crowded'
    ? {kind: 'wait', placement}
    : decidePlaced(progress, placement);
}

/** Decides whether to send a request that has waited for an upstream, or may not wait. */
export function decideAfterWait(
  progress: DispatchProgress,
  placement: decisions.Placement,
  isAbandoned: boolean,
): PlacementStep {
  return isAbandoned
    ? steps.getAbandonedOutcome('placing', progress.failure)
    : decidePlaced(progress, placement);
}

/** Decides what to do after sending the request to `upstreamId` ended with `result`. */
export function decideAfterAttempt(
  progress: DispatchProgress,
  execution: configurations.RouteExecution,
  upstreamId: string,
  result: connections.SendResult,
): AttemptStep {
  const step = steps.decideStep(execution, upstreamId, result);
  switch (step.kind) {
    case 'answered':
      return step;
    case 'abandoned':
      return steps.getAbandonedOutcome(step.phase, progress.failure);
    case 'finish':
      return fail(progress.failure, step.failure);
    case 'retry': {
      const failure = steps.getWorseFailure(progress.failure, step.failure);
      return {
        kind: 'retry',
        progress: addAttempt(progress, upstreamId, result, failure),
      };
    }
    default:
      return errors.throwUnreachable(step);
  }
}

function decidePlaced(
  {failure}: DispatchProgress,
  placement: decisions.Placement,
): PlacementStep {
  return placement.kind === 'chosen'
    ? {kind: 'send', placement}
    : fail(failure, steps.getPlacementFailure(placement));
}

/** Adds an attempt; one that did not leave this VM costs neither an attempt nor a part of the retry budget. */
function addAttempt(
  {attemptCount, unsentCount, triedUpstreamIds}: DispatchProgress,
  upstreamId: string,
  result: connections.SendResult,
  failure: steps.Failure,
): DispatchProgress {
  const isFree = isUnsent(result) && unsentCount < MAX_UNSENT_ATTEMPTS;
  return {
    attemptCount: isFree ? attemptCount : attemptCount + 1,
    unsentCount: isFree ? unsentCount + 1 : unsentCount,
    triedUpstreamIds: [...triedUpstreamIds, upstreamId],
    failure,
  };
}

/** Whether an attempt ended without a request and without delay. */
function isUnsent(result: connections.SendResult): boolean {
  switch (result.kind) {
    case 'withheld':
      return true;
    case 'notSent':
      return result.reason === 'ECONNREFUSED';
    case 'answered':
    case 'shed':
    case 'misdirected':
    case 'broken':
    case 'garbled':
    case 'timedOut':
    case 'abandoned':
      return false;
    default:
      return errors.throwUnreachable(result);
  }
}

/** Ends the dispatch with the failure of the attempts so far; without attempts, no time was left for one. */
function end(failure = steps.NO_TIME_LEFT_FAILURE): DispatchEnd {
  return {kind: 'failed', failure};
}

/** Ends the dispatch with a further failure. */
function fail(
  previous: steps.Failure | undefined,
  next: steps.Failure,
): DispatchEnd {
  return {kind: 'failed', failure: steps.getWorseFailure(previous, next)};
}
