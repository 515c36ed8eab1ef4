import type * as http from 'node:http';
import * as errors from '../../model/errors/index.js';

/** The largest body in bytes that a request may have. */
export const MAX_BODY_BYTES = 1_048_576;

const EMPTY_BODY = Buffer.alloc(0);

/**
 * Reads the whole body of a request.
 * @param expired Fires when the body is no longer waited for.
 * @throws BramleyrunError of kind invalidRequest when it is too large or breaks off, and of kind requestTimedOut
 *     when it has not come in time.
 */
export function readBody(
  request: http.IncomingMessage,
  maxBytes = MAX_BODY_BYTES,
  expired?: AbortSignal,
): Promise<Buffer> {
  if (!hasBody(request)) return Promise.resolve(EMPTY_BODY);
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= maxBytes) chunks.push(chunk);
    });
    request.on('end', () => {
      if (sizeBytes <= maxBytes) resolve(Buffer.concat(chunks));
      else reject(getInvalid(`the body is over ${maxBytes} bytes`));
    });
    request.on('error', () => reject(getInvalid('the body broke off')));
    expired?.addEventListener('abort', () =>
      reject(errors.getError('requestTimedOut', 'the body has not come')),
    );
    request.on('close', () => {
      if (!request.readableEnded) reject(getInvalid('the body broke off'));
    });
  });
}

/** Whether a request comes with a body. */
export function hasBody(request: http.IncomingMessage): boolean {
  return (
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined
  );
}

function getInvalid(message: string): errors.BramleyrunError {
  return errors.getError('invalidRequest', message, 'body');
}
