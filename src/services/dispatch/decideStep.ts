import type * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as connections from './UpstreamConnections.js';

/** Why a request failed, and whether an upstream may have run it. */
export type Failure =
  | {
      readonly kind: 'notRun';
      readonly error: errors.ErrorKind;
      readonly message: string;
    }
  | {
      readonly kind: 'mayHaveRun';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** What to do after an attempt to send a request. */
export type Step =
  | {readonly kind: 'answered'; readonly answer: entry.EntryAnswer}
  /** The caller disconnected, so no answer is sent. */
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'retry'; readonly failure: Failure}
  | {readonly kind: 'finish'; readonly failure: Failure};

/** The failure of a request whose remaining time is too short to send it. */
export const NO_TIME_LEFT_FAILURE: Failure = {
  kind: 'notRun',
  error: 'upstreamShed',
  message: 'no time is left to run the request',
};

/** Gets the failure of a quarantined request, under which `crashCount` upstreams in a row crashed. */
export function getQuarantineFailure(crashCount: number): Failure {
  return {
    kind: 'mayHaveRun',
    error: 'upstreamFailed',
    message: `quarantined: upstreams crashed while they had the request, ${crashCount} in a row`,
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
      return retry('notRun', 'upstreamShed', `${upstreamId} was full`);
    case 'misdirected':
      return retry(
        'notRun',
        'noUpstream',
        `${upstreamId} is no longer at its address`,
      );
    case 'notSent':
      return retry(
        'notRun',
        'noUpstream',
        `${upstreamId} could not be reached: ${result.reason}`,
      );
    case 'withheld':
      return retry(
        'notRun',
        'noUpstream',
        `${upstreamId} stopped accepting requests`,
      );
    case 'broken':
      return getStepAfterPossibleRun(
        mayRetry,
        `the connection to ${upstreamId} broke: ${result.reason}`,
      );
    case 'garbled':
      return getStepAfterPossibleRun(
        mayRetry,
        `${upstreamId} sent a response that does not belong to the request`,
      );
    case 'timedOut':
      return finish('deadlineExceeded', `${upstreamId} did not answer in time`);
    case 'abandoned':
      return {kind: 'abandoned'};
    default:
      return errors.throwUnreachable(result);
  }
}

function retry(
  kind: Failure['kind'],
  error: errors.ErrorKind,
  message: string,
): Step {
  return {kind: 'retry', failure: {kind, error, message}};
}

function finish(error: errors.ErrorKind, message: string): Step {
  return {kind: 'finish', failure: {kind: 'mayHaveRun', error, message}};
}

/** Gets the step after an attempt that may have run the request: only an idempotent request is retried. */
function getStepAfterPossibleRun(mayRetry: boolean, message: string): Step {
  return mayRetry
    ? retry('mayHaveRun', 'upstreamFailed', message)
    : finish('upstreamFailed', message);
}

/** Gets the failure to report: one after which the request may have run takes precedence over a later one. */
export function getWorseFailure(
  previous: Failure | undefined,
  next: Failure,
): Failure {
  return previous?.kind === 'mayHaveRun' ? previous : next;
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
      };
    case 'full':
      return {
        kind: 'notRun',
        error: 'upstreamShed',
        message: 'the upstreams cannot answer in time',
      };
  }
}
