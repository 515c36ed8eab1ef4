import type * as http from 'node:http';

/** Answers a request that the process serves itself; without `body`, the answer has an empty one. */
export function writeAnswer(
  response: http.ServerResponse,
  httpStatus: number,
  body = '',
  contentType = 'application/json',
): void {
  const headers = ['content-length', String(Buffer.byteLength(body))];
  if (body !== '') headers.push('content-type', contentType);
  response.writeHead(httpStatus, headers).end(body);
}
