/** Every way in which a request, a patch or a peer message can fail. */
export type ErrorKind =
  | 'invalidSettings'
  | 'invalidConfiguration'
  | 'invalidRequest'
  | 'requestTimedOut'
  | 'invalidPeerMessage'
  | 'invalidRow'
  | 'unauthenticated'
  | 'forbidden'
  | 'routeNotFound'
  | 'notFound'
  | 'idempotencyKeyMissing'
  | 'idempotencyKeyReused'
  | 'operationInProgress'
  | 'outcomeUnknown'
  | 'rateLimited'
  | 'limitUnavailable'
  | 'requestQuarantined'
  | 'noUpstream'
  | 'upstreamFailed'
  | 'upstreamShed'
  | 'overloaded'
  | 'deadlineExceeded'
  | 'notFresh'
  | 'stopping'
  | 'versionConflict'
  | 'platformUnavailable'
  | 'platformOutcomeUnknown'
  | 'internal';

/** How one kind of error is answered on each front end. */
export interface ErrorAnswer {
  /** The HTTP status code. */
  readonly httpStatus: number;

  /** The JSON-RPC error code. */
  readonly rpcCode: number;

  /** The exit code of the command line. */
  readonly exitCode: number;

  /** Whether it is certain that no upstream ran the request, nor ever will. */
  readonly isNotRun: boolean;
}

function getAnswer(
  httpStatus: number,
  rpcCode: number,
  exitCode: number,
  isNotRun: boolean,
): ErrorAnswer {
  return {httpStatus, rpcCode, exitCode, isNotRun};
}

/** The answer for each kind of error. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  invalidSettings: getAnswer(400, -32010, 64, true),
  invalidConfiguration: getAnswer(422, -32011, 65, true),
  invalidRequest: getAnswer(400, -32012, 65, true),
  requestTimedOut: getAnswer(408, -32034, 75, true),
  invalidPeerMessage: getAnswer(400, -32602, 65, true),
  invalidRow: getAnswer(500, -32013, 65, true),
  unauthenticated: getAnswer(401, -32014, 77, true),
  forbidden: getAnswer(403, -32015, 77, true),
  routeNotFound: getAnswer(404, -32016, 66, true),
  notFound: getAnswer(404, -32017, 66, true),
  idempotencyKeyMissing: getAnswer(428, -32018, 65, true),
  idempotencyKeyReused: getAnswer(422, -32019, 65, true),
  operationInProgress: getAnswer(409, -32020, 75, false),
  outcomeUnknown: getAnswer(409, -32021, 75, false),
  rateLimited: getAnswer(429, -32022, 75, true),
  limitUnavailable: getAnswer(503, -32033, 75, true),
  requestQuarantined: getAnswer(422, -32023, 70, false),
  noUpstream: getAnswer(503, -32024, 69, true),
  upstreamFailed: getAnswer(502, -32025, 70, false),
  upstreamShed: getAnswer(503, -32026, 75, true),
  overloaded: getAnswer(503, -32035, 75, true),
  deadlineExceeded: getAnswer(504, -32027, 75, false),
  notFresh: getAnswer(503, -32028, 75, true),
  stopping: getAnswer(503, -32029, 75, true),
  versionConflict: getAnswer(409, -32030, 73, true),
  platformUnavailable: getAnswer(503, -32031, 69, true),
  platformOutcomeUnknown: getAnswer(503, -32032, 75, false),
  internal: getAnswer(500, -32603, 70, false),
};
