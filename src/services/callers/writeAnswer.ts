import type * as http from 'node:http';
import * as stream from 'node:stream';
import * as streamPromises from 'node:stream/promises';
import * as codecs from '../../codecs/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as requests from '../../model/requests/index.js';
import * as httpService from '../http/index.js';

/** Upstream headers that are not forwarded: hop-by-hop headers, and the request id, which is set separately. */
const EXCLUDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'trailer',
  'upgrade',
  codecs.REQUEST_ID_HEADER,
]);

const CONTENT_LENGTH_HEADER = 'content-length';
const REPLAYED_HEADER = 'x-bramleyrun-replayed';

/** Sends an upstream's answer. When a streamed answer fails midway, the caller's connection is closed as well. */
export async function writeAnswer(
  response: http.ServerResponse,
  requestId: string,
  isHead: boolean,
  answer: requests.UpstreamAnswer,
): Promise<void> {
  const headers = [codecs.REQUEST_ID_HEADER, requestId];
  for (const {name, value} of answer.headers)
    if (!EXCLUDED_HEADERS.has(name)) headers.push(name, value);
  switch (answer.body.kind) {
    case 'whole': {
      const {bytes} = answer.body;
      const hasContentLength = answer.headers.some(
        header => header.name === CONTENT_LENGTH_HEADER,
      );
      if (!hasContentLength && !isHead)
        headers.push(CONTENT_LENGTH_HEADER, String(bytes.length));
      response.writeHead(answer.httpStatus, headers);
      response.end(bytes);
      return;
    }
    case 'stream':
      response.writeHead(answer.httpStatus, headers);
      await streamPromises.pipeline(
        stream.Readable.from(answer.body.chunks),
        response,
      );
      return;
    default:
      errors.throwUnreachable(answer.body);
  }
}

/** Sends a value as JSON. */
export function writeJson(
  response: http.ServerResponse,
  httpStatus: number,
  value: object,
): void {
  response.writeHead(httpStatus, {'content-type': 'application/json'});
  response.end(JSON.stringify(value));
}

/** Sends the stored answer of an earlier attempt of the same request, marked with the replay header. */
export function writeStoredAnswer(
  response: http.ServerResponse,
  requestId: string,
  answer: operations.StoredAnswer,
): void {
  const bytes = Buffer.from(answer.bodyBase64, 'base64');
  const headers = [
    codecs.REQUEST_ID_HEADER,
    requestId,
    REPLAYED_HEADER,
    'true',
  ];
  if (answer.contentType !== '')
    headers.push('content-type', answer.contentType);
  headers.push(CONTENT_LENGTH_HEADER, String(bytes.length));
  response.writeHead(answer.httpStatus, headers);
  response.end(bytes);
}

/**
 * Sends an error response. When the response headers were already sent, closes the connection instead; closes it, too,
 * after the response to a request whose body may have a long rest.
 * @param nowMs The wall-clock time in milliseconds.
 */
export function writeError(
  response: http.ServerResponse,
  requestId: string,
  error: errors.BramleyrunError,
  nowMs: number,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const encoded = codecs.encodeError(error, nowMs);
  const body = Buffer.from(encoded.body);
  const hasLongRest = httpService.hasLongRest(response.req);
  response.writeHead(encoded.httpStatus, {
    ...encoded.headers,
    [codecs.REQUEST_ID_HEADER]: requestId,
    [CONTENT_LENGTH_HEADER]: String(body.length),
    ...(hasLongRest ? {connection: 'close'} : {}),
  });
  if (hasLongRest) httpService.endBeforeBody(response, body);
  else response.end(body);
}
