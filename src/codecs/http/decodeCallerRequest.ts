import * as errors from '../../model/errors/index.js';
import type * as requests from '../../model/requests/index.js';
import * as headerNames from './headerNames.js';

const BEARER_PREFIX = /^bearer\s+/i;

/** An HTTP request as received from a caller, with the identifier assigned to it. */
export interface HttpRequestParts {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;

  /** The received headers, as alternating names and values. */
  readonly rawHeaders: readonly string[];

  readonly body: Buffer;
}

/**
 * Decodes a caller's request and removes the API key from the headers to forward.
 * @throws BramleyrunError of kind invalidRequest when the URL or the body contains the key, as both reach upstreams.
 */
export function decodeCallerRequest(
  parts: HttpRequestParts,
): requests.CallerRequest {
  const headers = parseHeaders(parts.rawHeaders);
  const key = extractKey(headers);
  if (key !== '') assertKeyNotForwarded(parts, key);
  return {
    requestId: parts.requestId,
    method: parts.method,
    target: parts.target,
    headers: headers.filter(header => isForwarded(header, key)),
    body: parts.body,
    key,
    idempotencyKey: getHeaderValue(headers, headerNames.IDEMPOTENCY_KEY_HEADER),
  };
}

function parseHeaders(
  rawHeaders: readonly string[],
): readonly requests.Header[] {
  const headers: requests.Header[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    headers.push({name, value: rawHeaders[index + 1]});
  }
  return headers;
}

function extractKey(headers: readonly requests.Header[]): string {
  const authorization = getHeaderValue(headers, 'authorization');
  if (BEARER_PREFIX.test(authorization))
    return authorization.replace(BEARER_PREFIX, '').trim();
  return getHeaderValue(headers, 'x-api-key');
}

function getHeaderValue(
  headers: readonly requests.Header[],
  name: string,
): string {
  return headers.find(header => header.name === name)?.value ?? '';
}

function isForwarded(header: requests.Header, key: string): boolean {
  if (headerNames.UNFORWARDED_HEADERS.has(header.name)) return false;
  if (header.name.startsWith(headerNames.RESERVED_HEADER_PREFIX)) return false;
  return key === '' || !containsKey(header.value, key);
}

function assertKeyNotForwarded(parts: HttpRequestParts, key: string): void {
  if (containsKey(parts.target, key))
    errors.throwError(
      'invalidRequest',
      'the key must not be in the URL',
      'target',
    );
  if (parts.body.includes(key))
    errors.throwError(
      'invalidRequest',
      'the key must not be in the body',
      'body',
    );
}

function containsKey(text: string, key: string): boolean {
  if (text.includes(key)) return true;
  return text.includes('%') && decodePercent(text).includes(key);
}

function decodePercent(text: string): string {
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
