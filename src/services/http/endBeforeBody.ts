import type * as http from 'node:http';

/** How long the rest of a body is discarded before its connection is closed. */
const DISCARD_MS = 1000;
const MAX_DISCARDED_BYTES = 4 * 1_048_576;

/** The rest of a body that is announced to be no longer than this is read to its end. */
const MAX_SHORT_BODY_BYTES = 65_536;

/** The number of pieces from which the body of a refused request counts as long. */
const MAX_DISCARDED_PIECES = 64;

/**
 * Discards the body of a request that is refused, so that the connection stays usable if the body is short. Resolves
 * when it proves to be long.
 */
export function discardBody(request: http.IncomingMessage): Promise<void> {
  return new Promise(resolve => {
    let pieceCount = 0;
    request.on('data', () => {
      pieceCount += 1;
      if (pieceCount > MAX_DISCARDED_PIECES) resolve();
    });
  });
}

/** Whether the connection must be closed after the answer to a request, since the rest of its body may be long. */
export function hasLongRest(request: http.IncomingMessage): boolean {
  const announcedBytes = Number(request.headers['content-length']);
  return !request.complete && !(announcedBytes <= MAX_SHORT_BODY_BYTES);
}

/**
 * Sends the body of an answer to a request whose own body may have a long rest, and closes the connection.
 *
 * @param response The answer, with its head written, which states the length of `body` and closes the connection.
 */
export function endBeforeBody(
  response: http.ServerResponse,
  body: Uint8Array,
): void {
  if (body.length > 0) response.write(body);
  else response.flushHeaders();
  discardRest(response.req, () => response.end());
}

/**
 * Discards the rest of a request's body for a while, without parsing it, before the connection is closed. Closing it at
 * once would reset it, which can cost a caller that still sends the answer.
 *
 * @param close Closes the connection.
 */
export function discardRest(
  request: http.IncomingMessage,
  close: () => void,
): void {
  const {socket} = request;
  const timer = setTimeout(close, DISCARD_MS);
  let discardedBytes = 0;
  request.resume();
  // Takes the connection's bytes away from the HTTP parser.
  socket.removeAllListeners('data');
  socket.on('data', (chunk: Buffer) => {
    discardedBytes += chunk.length;
    if (discardedBytes > MAX_DISCARDED_BYTES) close();
  });
  socket.once('close', () => clearTimeout(timer));
}
