import * as errors from '../../model/errors/index.js';
import type * as requests from '../../model/requests/index.js';
import * as headerNames from './headerNames.js';

const BEARER_PREFIX = /^bearer\s+/i;

/** The parts of an HTTP request. */
export interface HttpRequestParts {
  readonly requestId: string;
  readonly method: string;
  readonly target: string;

  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];

  readonly body: Buffer;
}

/**
 * Gets a caller's request without its key.
 * @throws BramleyrunError of kind invalidRequest when the key is where upstreams would see it.
 */
export function decodeCallerRequest(
  parts: HttpRequestParts,
): requests.CallerRequest {
  const headers = getHeaders(parts.rawHeaders);
  const key = getKey(headers);
  if (key !== '') assertKeyIsHidden(parts, key);
  return {
    requestId: parts.requestId,
    method: parts.method,
    target: parts.target,
    headers: headers.filter(header => isForwarded(header, key)),
    body: parts.body,
    key,
    idempotencyKey: getValue(headers, headerNames.IDEMPOTENCY_KEY_HEADER),
  };
}

function getHeaders(rawHeaders: readonly string[]): readonly requests.Header[] {
  const headers: requests.Header[] = [];
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = rawHeaders[index].toLowerCase();
    headers.push({name, value: rawHeaders[index + 1]});
  }
  return headers;
}

function getKey(headers: readonly requests.Header[]): string {
  const authorization = getValue(headers, 'authorization');
  if (BEARER_PREFIX.test(authorization))
    return authorization.replace(BEARER_PREFIX, '').trim();
  return getValue(headers, 'x-api-key');
}

function getValue(headers: readonly requests.Header[], name: string): string {
  return headers.find(header => header.name === name)?.value ?? '';
}

function isForwarded(header: requests.Header, key: string): boolean {
  if (headerNames.NOT_FORWARDED.has(header.name)) return false;
  if (header.name.startsWith(headerNames.OWN_HEADER_PREFIX)) return false;
  return key === '' || !hasKey(header.value, key);
}

function assertKeyIsHidden(parts: HttpRequestParts, key: string): void {
  if (hasKey(parts.target, key))
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

function hasKey(text: string, key: string): boolean {
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
