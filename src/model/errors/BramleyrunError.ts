import type * as kinds from './ErrorKind.js';

/** An error of one of the kinds in `ErrorKind`. */
export class BramleyrunError extends Error {
  /** The kind of the error. */
  readonly kind: kinds.ErrorKind;

  /** The path of the invalid field, or an empty string. */
  readonly fieldPath: string;

  /** The wall-clock time from which a retry may succeed, in milliseconds since the Unix epoch; undefined if unknown. */
  readonly retryAtMs: number | undefined;

  /** @param message A description of the error on one line, without secrets. */
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
