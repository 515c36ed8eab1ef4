import type * as http from 'node:http';
import * as errors from '../../model/errors/index.js';

/** The largest body that a request may have by default. */
export const MAX_BODY_BYTES = 1_048_576;

const EMPTY_BODY = Buffer.alloc(0);

/**
 * Reads the whole body of a request.
 * @param maxBytes The largest body in bytes that is accepted.
 * @param expirySignal Aborted when the time for reading the body has expired.
 * @throws BramleyrunError of kind invalidRequest when the body is too large or incomplete, and of kind requestTimedOut
 *     when it did not arrive in time.
 */
export function readBody(
  request: http.IncomingMessage,
  maxBytes = MAX_BODY_BYTES,
  expirySignal?: AbortSignal,
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
      else reject(createInvalidRequest(`the body is over ${maxBytes} bytes`));
    });
    request.on('error', () =>
      reject(createInvalidRequest('the body broke off')),
    );
    expirySignal?.addEventListener('abort', () =>
      reject(errors.createError('requestTimedOut', 'the body has not come')),
    );
    request.on('close', () => {
      if (!request.readableEnded)
        reject(createInvalidRequest('the body broke off'));
    });
  });
}

/** Whether a request's headers announce a body. */
export function hasBody(request: http.IncomingMessage): boolean {
  return (
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined
  );
}

function createInvalidRequest(message: string): errors.BramleyrunError {
  return errors.createError('invalidRequest', message, 'body');
}
