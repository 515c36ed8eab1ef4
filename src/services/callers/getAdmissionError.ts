import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as limitsService from '../limits/LimitsMessage.js';

/** Gets the error of a request that its organisation's rate limit does not admit. */
export function getAdmissionError(
  result: Exclude<limitsService.AdmissionResult, {kind: 'granted'}>,
  clock: kernel.Clock,
): errors.BramleyrunError {
  switch (result.kind) {
    case 'refused': {
      const waitMs = Math.max(0, result.retryAtMs - clock.monotonicMs());
      return new errors.BramleyrunError(
        'rateLimited',
        'the organisation is over its rate and burst',
        '',
        Math.ceil(clock.wallMs() + waitMs),
      );
    }
    case 'unavailable':
      return errors.createError(
        'limitUnavailable',
        "nobody could say whether the organisation's rate allows it",
      );
    default:
      return errors.throwUnreachable(result);
  }
}
