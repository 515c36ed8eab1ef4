/** Error codes of failures that occur before any data is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether a failed request was certainly not sent. */
export function isNotSent(thrown: unknown): boolean {
  const {code} = thrown as {readonly code?: string};
  return code !== undefined && NOT_SENT_CODES.has(code);
}
