import type * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as connections from './UpstreamConnections.js';

/** Why a request has no answer. */
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

/** What follows a try. */
export type Step =
  | {readonly kind: 'answered'; readonly answer: entry.EntryAnswer}
  /** Nobody takes an answer any more. */
  | {readonly kind: 'abandoned'}
  | {readonly kind: 'retry'; readonly failure: Failure}
  | {readonly kind: 'finish'; readonly failure: Failure};

/** The failure of a request for which no time is left. */
export const TOO_LATE: Failure = {
  kind: 'notRun',
  error: 'upstreamShed',
  message: 'no time is left to run the request',
};

/** Decides whether another upstream may be tried after an attempt at `upstreamId`. */
export function decideStep(
  execution: configurations.RouteExecution,
  upstreamId: string,
  result: connections.SendResult,
): Step {
  const mayRepeat = execution === 'idempotent';
  switch (result.kind) {
    case 'answered':
      return {kind: 'answered', answer: result.answer};
    case 'shed':
      return retry('notRun', 'upstreamShed', `${upstreamId} was full`);
    case 'misdirected':
      return retry('notRun', 'noUpstream', `${upstreamId} has left`);
    case 'notSent':
      return retry(
        'notRun',
        'noUpstream',
        `${upstreamId} could not be reached: ${result.reason}`,
      );
    case 'broken':
      return getUnknownStep(
        mayRepeat,
        `${upstreamId} broke off: ${result.reason}`,
      );
    case 'garbled':
      return getUnknownStep(
        mayRepeat,
        `${upstreamId} sent what is no answer to the request`,
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

/** A request that may have run is repeated only when it may run twice. */
function getUnknownStep(mayRepeat: boolean, message: string): Step {
  return mayRepeat
    ? retry('mayHaveRun', 'upstreamFailed', message)
    : finish('upstreamFailed', message);
}

/** A failure after which the request may have run outweighs one after which it has not. */
export function getWorse(known: Failure | undefined, next: Failure): Failure {
  return known?.kind === 'mayHaveRun' ? known : next;
}

/** Gets why a request got no upstream. */
export function getPlacementFailure(
  placement: Exclude<decisions.Placement, {kind: 'chosen'}>,
): Failure {
  switch (placement.kind) {
    case 'none':
      return {
        kind: 'notRun',
        error: 'noUpstream',
        message: 'no upstream takes the request',
      };
    case 'full':
      return {
        kind: 'notRun',
        error: 'upstreamShed',
        message: 'the upstreams cannot answer in time',
      };
  }
}
