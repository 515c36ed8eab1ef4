import * as mergePatch from 'json-merge-patch';
import * as jsonPatch from 'rfc6902';
import * as model from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import * as schemas from '../schemas/index.js';
import * as configurationSchemas from './configurationSchema.js';

/**
 * Returns the document that results from applying a patch; `document` itself is not modified.
 * @throws BramleyrunError of kind invalidConfiguration, with the path of the invalid field.
 */
export function applyPatch(
  document: model.ConfigurationDocument,
  patch: model.ConfigurationPatch,
): model.ConfigurationDocument {
  return schemas.parseOrThrow(
    configurationSchemas.documentSchema,
    patchDocument(structuredClone(document), patch),
    'invalidConfiguration',
  );
}

/**
 * Parses a patch from JSON text: an array is a JSON Patch, an object a JSON Merge Patch.
 * @throws BramleyrunError of kind invalidConfiguration.
 */
export function parsePatch(text: string): model.ConfigurationPatch {
  const value = parseJson(text);
  if (Array.isArray(value)) return {kind: 'jsonPatch', operations: value};
  if (typeof value === 'object' && value !== null)
    return {kind: 'mergePatch', patch: value};
  return errors.throwError(
    'invalidConfiguration',
    'a patch is a JSON object or array',
  );
}

function patchDocument(
  document: object,
  patch: model.ConfigurationPatch,
): unknown {
  switch (patch.kind) {
    case 'mergePatch':
      return mergePatch.apply(document, structuredClone(patch.patch));
    case 'jsonPatch':
      return applyOperations(document, patch.operations);
    default:
      return errors.throwUnreachable(patch);
  }
}

function applyOperations(
  document: object,
  operations: readonly object[],
): unknown {
  const copies = structuredClone(operations) as jsonPatch.Operation[];
  const results = runOperations(document, copies);
  results.forEach((result, index) => {
    if (result === null) return;
    errors.throwError(
      'invalidConfiguration',
      `operation ${index}: ${result.name}: ${result.message}`,
      `operations.${index}`,
    );
  });
  return document;
}

function runOperations(
  document: object,
  operations: jsonPatch.Operation[],
): readonly (Error | null)[] {
  try {
    return jsonPatch.applyPatch(document, operations);
  } catch (thrown) {
    const {message} = errors.toError(thrown);
    return errors.throwError('invalidConfiguration', message, 'operations');
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return errors.throwError('invalidConfiguration', 'the patch is not JSON');
  }
}
