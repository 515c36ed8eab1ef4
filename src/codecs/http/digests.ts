import * as crypto from 'node:crypto';
import type * as requests from '../../model/requests/index.js';

/** Returns the SHA-256 digest of a text, in hexadecimal. */
export function getTextDigestHex(text: string): string {
  return crypto.hash('sha256', text);
}

/** Returns the SHA-256 digest, in hexadecimal, of a request's organisation, method, target and body. */
export function getRequestDigestHex(
  request: Pick<requests.CallerRequest, 'method' | 'target' | 'body'>,
  organisationId: string,
): string {
  return crypto
    .createHash('sha256')
    .update(`${organisationId}\n${request.method}\n${request.target}\n`)
    .update(request.body)
    .digest('hex');
}

/** Whether a text equals a secret; the time of the comparison does not reveal where they differ. */
export function equalsSecret(text: string, secret: string): boolean {
  const textDigest = crypto.hash('sha256', text, 'buffer');
  const secretDigest = crypto.hash('sha256', secret, 'buffer');
  return crypto.timingSafeEqual(textDigest, secretDigest);
}
