import * as errors from '../../model/errors/index.js';
import * as headerNames from './headerNames.js';

const MS_PER_SECOND = 1000;

/** An error encoded as an HTTP response. */
export interface EncodedError {
  readonly httpStatus: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
}

/**
 * Encodes an error as an HTTP response.
 * @param nowMs The current wall-clock time in milliseconds, from which the Retry-After header is computed.
 */
export function encodeError(
  error: errors.BramleyrunError,
  nowMs: number,
): EncodedError {
  const answer = errors.ERROR_ANSWERS[error.kind];
  const headers: Record<string, string> = {
    'content-type': 'application/json',
    [headerNames.ERROR_HEADER]: error.kind,
    [headerNames.NOT_RUN_HEADER]: String(answer.isNotRun),
  };
  if (error.retryAtMs !== undefined) {
    const waitSeconds = Math.ceil((error.retryAtMs - nowMs) / MS_PER_SECOND);
    headers['retry-after'] = String(Math.max(1, waitSeconds));
  }
  const body = JSON.stringify({
    error: error.kind,
    message: error.message,
    fieldPath: error.fieldPath || undefined,
    isNotRun: answer.isNotRun,
    retryAtMs: error.retryAtMs,
  });
  return {httpStatus: answer.httpStatus, headers, body};
}
