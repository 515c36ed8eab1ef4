import type * as zod from 'zod';
import * as errors from '../../model/errors/index.js';

/**
 * Validates `value` against a schema and returns the parsed value.
 * @throws BramleyrunError of the given kind, with the path of the first invalid field.
 */
export function parseOrThrow<T>(
  schema: zod.ZodType<T>,
  value: unknown,
  kind: errors.ErrorKind,
): T {
  const result = schema.safeParse(value);
  if (result.success) return result.data;
  const issue = result.error.issues[0];
  const fieldPath = getFieldPath(issue);
  return errors.throwError(
    kind,
    `${fieldPath || 'value'}: ${issue.message}`,
    fieldPath,
  );
}

/** Parses JSON text and validates it against a schema. @throws BramleyrunError of the given kind. */
export function parseJsonOrThrow<T>(
  schema: zod.ZodType<T>,
  text: string,
  kind: errors.ErrorKind,
): T {
  return parseOrThrow(schema, parseText(text, kind), kind);
}

function parseText(text: string, kind: errors.ErrorKind): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return errors.throwError(kind, 'the text is not JSON');
  }
}

function getFieldPath(issue: zod.core.$ZodIssue): string {
  const path = issue.path.map(String);
  const unknownKeys = issue.code === 'unrecognized_keys' ? issue.keys : [];
  return [...path, ...unknownKeys.slice(0, 1)].join('.');
}
