import type * as http from 'node:http';
import type * as stream from 'node:stream';
import * as errors from '../../model/errors/index.js';
import * as memories from './BodyMemory.js';
import * as readers from './BodyReader.js';

/** The largest body in bytes that a request may have by default. */
export const MAX_BODY_BYTES = 1_048_576;

/** The body of a request. */
export interface RequestBody {
  readonly bytes: Buffer;

  /** Frees the body's part of the common memory, once the request has been answered. */
  readonly release: () => void;
}

/** The body of a request without one. */
export const EMPTY_REQUEST_BODY: RequestBody = {
  bytes: Buffer.alloc(0),
  release: () => {},
};

/**
 * Reads the whole body of a request; asks the caller for it first, if the caller waits for that.
 * @throws BramleyrunError of kind invalidRequest when the body is too large, comes in too many small pieces or is
 *     incomplete, of kind requestTimedOut when it did not arrive in time, and of kind overloaded when the bodies of all
 *     requests take too much memory.
 */
export async function readBody(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  limits: readers.BodyLimits,
): Promise<RequestBody> {
  if (!hasBody(request)) return EMPTY_REQUEST_BODY;
  if (Number(request.headers['content-length']) > limits.maxBytes)
    throw createTooLargeError(limits.maxBytes);
  if (isAwaitingContinue(request)) response.writeContinue();
  const reader = new readers.BodyReader(request, 'request', limits);
  const result = await reader.read();
  switch (result.kind) {
    case 'complete':
      return {bytes: result.bytes, release: () => reader.release()};
    case 'tooLarge':
      throw createTooLargeError(limits.maxBytes);
    case 'fragmented':
      throw createInvalidRequest('the body comes in too many small pieces');
    case 'dropped':
      throw errors.createError('overloaded', 'bodies take too much memory');
    case 'expired':
      throw errors.createError('requestTimedOut', 'the body has not come');
    case 'incomplete':
      throw createInvalidRequest('the body broke off');
  }
}

/**
 * Reads the whole body of an answer of the store or of a peer as text. Closes its connection when the body exceeds a
 * limit.
 * @param onPiece Called for each piece of the body.
 * @throws Error when the body is too large, comes in too many small pieces or is incomplete.
 */
export async function readAnswerText(
  body: stream.Readable,
  maxBytes: number,
  onPiece: () => void = () => {},
): Promise<string> {
  body.on('data', onPiece);
  const result = await new readers.BodyReader(body, 'answer', {
    maxBytes,
    memory: new memories.BodyMemory('answer'),
  }).read();
  if (result.kind === 'complete') return result.bytes.toString('utf8');
  body.destroy();
  throw new Error(`the body of the answer is ${result.kind}`);
}

/** Whether a request's headers announce a body. */
export function hasBody(request: http.IncomingMessage): boolean {
  return (
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined
  );
}

function isAwaitingContinue({
  headers,
  httpVersion,
}: http.IncomingMessage): boolean {
  return (
    httpVersion === '1.1' && headers.expect?.toLowerCase() === '100-continue'
  );
}

function createTooLargeError(maxBytes: number): errors.BramleyrunError {
  return createInvalidRequest(`the body is over ${maxBytes} bytes`);
}

function createInvalidRequest(message: string): errors.BramleyrunError {
  return errors.createError('invalidRequest', message, 'body');
}
