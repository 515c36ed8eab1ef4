import * as codecs from '../../codecs/index.js';
import type * as kernel from '../../kernel/index.js';
import * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as platform from '../../model/platform/index.js';
import * as platformService from '../platform/index.js';
import type * as messages from './ConfigurationMessage.js';

/** The newest version and the table's row that names it. */
export interface NewestVersion {
  readonly configuration: configurations.Configuration;

  /** The version of the row; 0 when there is none. */
  readonly rowVersion: number;
}

/** Gets the document of a head row. @throws BramleyrunError when the object can't be had. */
export async function readDocument(
  services: kernel.ServiceDirectory,
  head: codecs.HeadRow,
): Promise<configurations.ConfigurationDocument> {
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.ObjectResult>(reply => ({
      kind: 'getObject',
      name: head.objectName,
      reply,
    }));
  if (result.kind !== 'object')
    return errors.throwError(
      'platformUnavailable',
      `the object ${head.objectName} can't be had`,
    );
  return codecs.parseJsonOrThrow(
    codecs.documentSchema,
    result.text,
    'invalidRow',
  );
}

/** Gets the newest version from the table. @throws BramleyrunError when it can't be had. */
export async function readNewestOrThrow(
  services: kernel.ServiceDirectory,
  known: configurations.Configuration,
): Promise<NewestVersion> {
  const row = await readRowOrThrow(services, codecs.HEAD_ROW_KEY);
  if (row === undefined)
    return {configuration: configurations.EMPTY_CONFIGURATION, rowVersion: 0};
  const head = codecs.parseJsonOrThrow(
    codecs.headRowSchema,
    row.value,
    'invalidRow',
  );
  const document =
    head.version === known.version
      ? known.document
      : await readDocument(services, head);
  return {
    configuration: {version: head.version, document},
    rowVersion: row.version,
  };
}

/** Gets the version that an earlier attempt of the same change made, if any. */
export async function findChange(
  services: kernel.ServiceDirectory,
  command: messages.PatchCommand,
): Promise<number | undefined> {
  const version = command.baseVersion + 1;
  const row = await readRowOrThrow(services, codecs.getAuditRowKey(version));
  if (row === undefined) return undefined;
  const record = codecs.parseJsonOrThrow(
    codecs.auditSchema,
    row.value,
    'invalidRow',
  );
  return record.changeId === command.changeId ? version : undefined;
}

/**
 * Writes a version and its audit record in one transaction.
 * @throws BramleyrunError of kind versionConflict, platformUnavailable or platformOutcomeUnknown.
 */
export async function commitOrThrow(
  services: kernel.ServiceDirectory,
  base: NewestVersion,
  next: configurations.Configuration,
  command: messages.PatchCommand,
  changedAtMs: number,
): Promise<void> {
  const objectName = `configuration-${next.version}-${command.changeId}`;
  await putDocumentOrThrow(services, objectName, next.document);
  const head: codecs.HeadRow = {
    version: next.version,
    changeId: command.changeId,
    objectName,
  };
  const record: configurations.AuditRecord = {
    version: next.version,
    baseVersion: command.baseVersion,
    operatorId: command.operatorId,
    changedAtMs,
    changeId: command.changeId,
    patch: command.patch,
  };
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.TransactionResult>(reply => ({
      kind: 'transact',
      transaction: getTransaction(base.rowVersion, head, record),
      reply,
    }));
  await settleOrThrow(services, result, command);
}

function getTransaction(
  rowVersion: number,
  head: codecs.HeadRow,
  record: configurations.AuditRecord,
): platform.TableTransaction {
  const auditKey = codecs.getAuditRowKey(record.version);
  return {
    checks: [
      {key: codecs.HEAD_ROW_KEY, version: rowVersion},
      {key: auditKey, version: 0},
    ],
    writes: [
      {kind: 'put', key: codecs.HEAD_ROW_KEY, value: JSON.stringify(head)},
      {kind: 'put', key: auditKey, value: JSON.stringify(record)},
    ],
  };
}

async function settleOrThrow(
  services: kernel.ServiceDirectory,
  result: platform.TransactionResult,
  command: messages.PatchCommand,
): Promise<void> {
  switch (result.kind) {
    case 'committed':
      return;
    case 'conflict':
      return errors.throwError(
        'versionConflict',
        `another change was made to version ${command.baseVersion}`,
        'baseVersion',
      );
    case 'unavailable':
      return errors.throwError(
        'platformUnavailable',
        'the table takes no writes; nothing was changed',
      );
    case 'outcomeUnknown':
      return await readBackOrThrow(services, command);
    default:
      return errors.throwUnreachable(result);
  }
}

/** Settles a lost answer by the change's own id. */
async function readBackOrThrow(
  services: kernel.ServiceDirectory,
  command: messages.PatchCommand,
): Promise<void> {
  let found: number | undefined;
  try {
    found = await findChange(services, command);
  } catch {
    found = undefined;
  }
  if (found !== undefined) return;
  errors.throwError(
    'platformOutcomeUnknown',
    'the answer of the table was lost; send the same change with the same id again',
  );
}

async function putDocumentOrThrow(
  services: kernel.ServiceDirectory,
  name: string,
  document: configurations.ConfigurationDocument,
): Promise<void> {
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.PutResult>(reply => ({
      kind: 'putObject',
      name,
      text: JSON.stringify(document),
      reply,
    }));
  if (result.kind === 'unavailable')
    errors.throwError(
      'platformUnavailable',
      'the object store takes no writes; nothing was changed',
    );
}

async function readRowOrThrow(
  services: kernel.ServiceDirectory,
  key: string,
): Promise<platform.TableRow | undefined> {
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.ReadResult>(reply => ({
      kind: 'read',
      request: {kind: 'keys', keys: [key]},
      reply,
    }));
  if (result.kind === 'unavailable')
    return errors.throwError('platformUnavailable', 'the table gives no rows');
  return result.rows[0];
}
