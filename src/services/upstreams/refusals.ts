import type * as decisions from '../../decisions/index.js';
import * as errors from '../../model/errors/index.js';
import type * as messages from './UpstreamsMessage.js';

type NotRunResult = Extract<messages.DispatchResult, {kind: 'notRun'}>;
type MayHaveRunResult = Extract<messages.DispatchResult, {kind: 'mayHaveRun'}>;

/** Gets the result of a request for which no upstream was chosen. */
export function getNoChoiceResult(
  choice: Exclude<decisions.UpstreamChoice, {kind: 'chosen'}>,
): NotRunResult {
  switch (choice.kind) {
    case 'none':
      return {
        kind: 'notRun',
        error: 'noUpstream',
        message: 'no upstream takes work',
      };
    case 'full':
      return {
        kind: 'notRun',
        error: 'upstreamShed',
        message: 'the upstreams are full',
      };
    default:
      return errors.throwUnreachable(choice);
  }
}

/** Gets the result of a request that is quarantined after `crashCount` crashes in a row. */
export function getQuarantineResult(crashCount: number): MayHaveRunResult {
  return {
    kind: 'mayHaveRun',
    error: 'requestQuarantined',
    message: `upstreams crashed while they had the request, ${crashCount} in a row`,
  };
}
