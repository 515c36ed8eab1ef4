import * as undici from 'undici';

/** Whether a request failed because the bytes that came back are not an answer. */
export function isUnparsable(thrown: Error): boolean {
  return thrown instanceof undici.errors.HTTPParserError;
}
