import * as bramleyrunErrors from './BramleyrunError.js';
import type * as kinds from './ErrorKind.js';

/** Creates an error of the given kind. */
export function createError(
  kind: kinds.ErrorKind,
  message: string,
  fieldPath = '',
): bramleyrunErrors.BramleyrunError {
  return new bramleyrunErrors.BramleyrunError(kind, message, fieldPath);
}

/** Throws an error of the given kind. @throws BramleyrunError always. */
export function throwError(
  kind: kinds.ErrorKind,
  message: string,
  fieldPath = '',
): never {
  throw createError(kind, message, fieldPath);
}

/** Converts any thrown value to a BramleyrunError; other errors become kind `internal`. */
export function toError(thrown: unknown): bramleyrunErrors.BramleyrunError {
  if (thrown instanceof bramleyrunErrors.BramleyrunError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return createError('internal', message);
}

/** Marks the unreachable default of an exhaustive switch. @throws Error when a case is missing at run time. */
export function throwUnreachable(value: never): never {
  throw new Error(`unexpected case ${JSON.stringify(value)}`);
}
