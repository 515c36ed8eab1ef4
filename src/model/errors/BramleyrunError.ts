import type * as kinds from './ErrorKind.js';

/** A failure of the closed list. */
export class BramleyrunError extends Error {
  /** Which failure of the closed list it is. */
  readonly kind: kinds.ErrorKind;

  /** The path of the offending field, or an empty string. */
  readonly fieldPath: string;

  /** The wall-clock time in milliseconds from which a repeat makes sense, if known. */
  readonly retryAtMs: number | undefined;

  /** @param message What is wrong, in one line and without secrets. */
  constructor(
    kind: kinds.ErrorKind,
    message: string,
    fieldPath = '',
    retryAtMs?: number,
  ) {
    super(message);
    this.name = 'BramleyrunError';
    this.kind = kind;
    this.fieldPath = fieldPath;
    this.retryAtMs = retryAtMs;
  }
}
