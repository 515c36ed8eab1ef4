/** Every kind of error that settings, rows, requests, patches and peer messages can cause. */
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

/** The status code that each front end reports for one kind of error. */
export interface ErrorAnswer {
  /** The HTTP status code. */
  readonly httpStatus: number;

  /** The JSON-RPC error code. */
  readonly rpcCode: number;

  /** The exit code of the command-line program. */
  readonly exitCode: number;

  /** Whether it is certain that no upstream has run the request or will run it. */
  readonly isNotRun: boolean;
}

function createAnswer(
  httpStatus: number,
  rpcCode: number,
  exitCode: number,
  isNotRun: boolean,
): ErrorAnswer {
  return {httpStatus, rpcCode, exitCode, isNotRun};
}

/** The status codes for each kind of error. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  invalidSettings: createAnswer(400, -32010, 64, true),
  invalidConfiguration: createAnswer(422, -32011, 65, true),
  invalidRequest: createAnswer(400, -32012, 65, true),
  requestTimedOut: createAnswer(408, -32034, 75, true),
  invalidPeerMessage: createAnswer(400, -32602, 65, true),
  invalidRow: createAnswer(500, -32013, 65, true),
  unauthenticated: createAnswer(401, -32014, 77, true),
  forbidden: createAnswer(403, -32015, 77, true),
  routeNotFound: createAnswer(404, -32016, 66, true),
  notFound: createAnswer(404, -32017, 66, true),
  idempotencyKeyMissing: createAnswer(428, -32018, 65, true),
  idempotencyKeyReused: createAnswer(422, -32019, 65, true),
  operationInProgress: createAnswer(409, -32020, 75, false),
  outcomeUnknown: createAnswer(409, -32021, 75, false),
  rateLimited: createAnswer(429, -32022, 75, true),
  limitUnavailable: createAnswer(503, -32033, 75, true),
  requestQuarantined: createAnswer(422, -32023, 70, false),
  noUpstream: createAnswer(503, -32024, 69, true),
  upstreamFailed: createAnswer(502, -32025, 70, false),
  upstreamShed: createAnswer(503, -32026, 75, true),
  overloaded: createAnswer(503, -32035, 75, true),
  deadlineExceeded: createAnswer(504, -32027, 75, false),
  notFresh: createAnswer(503, -32028, 75, true),
  stopping: createAnswer(503, -32029, 75, true),
  versionConflict: createAnswer(409, -32030, 73, true),
  platformUnavailable: createAnswer(503, -32031, 69, true),
  platformOutcomeUnknown: createAnswer(503, -32032, 75, false),
  internal: createAnswer(500, -32603, 70, false),
};
