/** Identifies a request uniquely within the fleet; upstreams copy the header to their response. */
export const REQUEST_ID_HEADER = 'x-bramleyrun-request-id';

/** Identifies the organisation to which a request belongs. */
export const ORGANISATION_HEADER = 'x-bramleyrun-organisation';

/** Wall-clock time, in milliseconds since the Unix epoch, after which an upstream rejects the request. */
export const DEADLINE_HEADER = 'x-bramleyrun-deadline-ms';

/** Whether it is certain that a rejected request was not run. */
export const NOT_RUN_HEADER = 'x-bramleyrun-not-run';

/** The kind of an error, as in `ErrorKind`. */
export const ERROR_HEADER = 'x-bramleyrun-error';

/** Identifies an operation that may run at most once; chosen by the caller. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** The reserved prefix of this system's headers; request headers of callers with this prefix are not forwarded. */
export const RESERVED_HEADER_PREFIX = 'x-bramleyrun-';

/** Headers of callers that are not forwarded: they concern a single connection or carry credentials. */
export const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'proxy-authorization',
  'x-api-key',
  'host',
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);
