import type * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as messages from './DispatchMessage.js';
import type * as connections from './UpstreamConnections.js';

/** Why a request failed, and whether an upstream may have run it. */
export interface Failure {
  readonly kind: 'notRun' | 'mayHaveRun';
  readonly error: errors.ErrorKind;
  readonly message: string;
  readonly phase: entry.RequestPhase;
}

/** What to do after an attempt to send a request. */
export type Step =
  | {readonly kind: 'answered'; readonly answer: entry.EntryAnswer}
  /** The caller disconnected, or the request was cut off. */
  | {readonly kind: 'abandoned'; readonly phase: entry.RequestPhase}
  | {readonly kind: 'retry'; readonly failure: Failure}
  | {readonly kind: 'finish'; readonly failure: Failure};

/** The failure of a request whose remaining time is too short to send it. */
export const NO_TIME_LEFT_FAILURE: Failure = {
  kind: 'notRun',
  error: 'upstreamShed',
  message: 'no time is left to run the request',
  phase: 'placing',
};

/** Gets the failure of a quarantined request, under which `crashCount` upstreams in a row crashed. */
export function getQuarantineFailure(crashCount: number): Failure {
  return {
    kind: 'mayHaveRun',
    error: 'upstreamFailed',
    message: `quarantined: upstreams crashed while they had the request, ${crashCount} in a row`,
    phase: 'placing',
  };
}

/** Decides whether to retry with another upstream after sending the request to `upstreamId` ended with `result`. */
export function decideStep(
  execution: configurations.RouteExecution,
  upstreamId: string,
  result: connections.SendResult,
): Step {
  const mayRetry = execution === 'idempotent';
  switch (result.kind) {
    case 'answered':
      return {kind: 'answered', answer: result.answer};
    case 'shed':
      return retry({
        kind: 'notRun',
        error: 'upstreamShed',
        message: `${upstreamId} was full`,
        phase: 'atUpstream',
      });
    case 'misdirected':
      return retry({
        kind: 'notRun',
        error: 'noUpstream',
        message: `${upstreamId} is no longer at its address`,
        phase: 'atUpstream',
      });
    case 'notSent':
      return retry({
        kind: 'notRun',
        error: 'noUpstream',
        message: `${upstreamId} could not be reached: ${result.reason}`,
        phase: 'connecting',
      });
    case 'withheld':
      return retry({
        kind: 'notRun',
        error: 'noUpstream',
        message: `${upstreamId} stopped accepting requests`,
        phase: 'connecting',
      });
    case 'broken':
      return getStepAfterPossibleRun(mayRetry, {
        kind: 'mayHaveRun',
        error: 'upstreamFailed',
        message: `the connection to ${upstreamId} broke: ${result.reason}`,
        phase: result.phase,
      });
    case 'garbled':
      return getStepAfterPossibleRun(mayRetry, {
        kind: 'mayHaveRun',
        error: 'upstreamFailed',
        message: `${upstreamId} sent a response that is no answer to the request`,
        phase: 'atUpstream',
      });
    case 'timedOut':
      return {
        kind: 'finish',
        failure: {
          kind: 'mayHaveRun',
          error: 'deadlineExceeded',
          message: `${upstreamId} did not answer in time`,
          phase: result.phase,
        },
      };
    case 'abandoned':
      return {kind: 'abandoned', phase: result.phase};
    default:
      return errors.throwUnreachable(result);
  }
}

function retry(failure: Failure): Step {
  return {kind: 'retry', failure};
}

/** Gets the step after an attempt that may have run the request: only an idempotent request is retried. */
function getStepAfterPossibleRun(mayRetry: boolean, failure: Failure): Step {
  return {kind: mayRetry ? 'retry' : 'finish', failure};
}

/** Gets the failure to report: one after which the request may have run takes precedence over a later one. */
export function getWorseFailure(
  previous: Failure | undefined,
  next: Failure,
): Failure {
  return previous?.kind === 'mayHaveRun' ? previous : next;
}

/** Gets the outcome of a request that is abandoned after an earlier attempt may have failed. */
export function getAbandonedOutcome(
  phase: entry.RequestPhase,
  previous: Failure | undefined,
): Extract<messages.DispatchOutcome, {kind: 'abandoned'}> {
  const isAtUpstream = phase === 'atUpstream' || phase === 'receivingAnswer';
  const mayHaveRun = isAtUpstream || previous?.kind === 'mayHaveRun';
  return {kind: 'abandoned', phase, mayHaveRun};
}

/** Gets the failure of a request for which no upstream could be chosen. */
export function getPlacementFailure(
  placement: Exclude<decisions.Placement, {kind: 'chosen'}>,
): Failure {
  switch (placement.kind) {
    case 'none':
      return {
        kind: 'notRun',
        error: 'noUpstream',
        message: 'no upstream accepts the request',
        phase: 'placing',
      };
    case 'full':
      return {
        kind: 'notRun',
        error: 'upstreamShed',
        message: 'the upstreams cannot answer in time',
        phase: 'placing',
      };
    case 'crowded':
      return {
        kind: 'notRun',
        error: 'upstreamShed',
        message: `the upstreams' queues are too long by ${Math.round(placement.joinableInMs)} ms`,
        phase: 'placing',
      };
  }
}
