import * as bramleyrunErrors from './BramleyrunError.js';
import type * as kinds from './ErrorKind.js';

/** Gets an error of the closed list. */
export function getError(
  kind: kinds.ErrorKind,
  message: string,
  fieldPath = '',
): bramleyrunErrors.BramleyrunError {
  return new bramleyrunErrors.BramleyrunError(kind, message, fieldPath);
}

/** Throws an error of the closed list. @throws BramleyrunError always. */
export function throwError(
  kind: kinds.ErrorKind,
  message: string,
  fieldPath = '',
): never {
  throw getError(kind, message, fieldPath);
}

/** Gets any thrown value as an error of the closed list. */
export function toError(thrown: unknown): bramleyrunErrors.BramleyrunError {
  if (thrown instanceof bramleyrunErrors.BramleyrunError) return thrown;
  const message = thrown instanceof Error ? thrown.message : String(thrown);
  return getError('internal', message);
}

/** Marks the place after an exhaustive switch. @throws Error when a new case was forgotten. */
export function throwUnreachable(value: never): never {
  throw new Error(`unexpected case ${JSON.stringify(value)}`);
}
