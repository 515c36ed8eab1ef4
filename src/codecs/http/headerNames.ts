/** Names a request over the whole fleet; upstreams send it back. */
export const REQUEST_ID_HEADER = 'x-bramleyrun-request-id';

/** Names the organisation for which a request runs. */
export const ORGANISATION_HEADER = 'x-bramleyrun-organisation';

/** Wall-clock time in milliseconds after which an upstream refuses the request. */
export const DEADLINE_HEADER = 'x-bramleyrun-deadline-ms';

/** Whether it is certain that a refused request was not run. */
export const NOT_RUN_HEADER = 'x-bramleyrun-not-run';

/** The kind of an error. */
export const ERROR_HEADER = 'x-bramleyrun-error';

/** The caller's own name for an action that may run at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

/** How headers of ours begin; callers' own ones of that kind are dropped. */
export const OWN_HEADER_PREFIX = 'x-bramleyrun-';

/** Headers that speak of one connection only, or carry credentials. */
export const NOT_FORWARDED: ReadonlySet<string> = new Set([
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
