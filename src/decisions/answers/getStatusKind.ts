/** What a status of an upstream's response says about it. */
export type StatusKind =
  /** The answer to the request. */
  | 'final'
  /** A response that comes before the answer and is not passed on. */
  | 'interim'
  /** No status of a response: the connection carries something else, or the upstream is in trouble. */
  | 'invalid';

/**
 * Gets the kind of a status that an upstream sent. An answer has a status of 200 to 599; the registered statuses of
 * interim responses are 100 to 103. Anything else is not passed on to a caller.
 */
export function getStatusKind(httpStatus: number): StatusKind {
  if (httpStatus >= 200 && httpStatus <= 599) return 'final';
  return httpStatus >= 100 && httpStatus <= 103 ? 'interim' : 'invalid';
}
