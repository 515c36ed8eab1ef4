import * as codecs from '../../codecs/index.js';
import type * as kernel from '../../kernel/index.js';
import * as configurations from '../../model/configuration/index.js';
import * as errors from '../../model/errors/index.js';
import type * as platform from '../../model/platform/index.js';
import * as platformService from '../platform/index.js';
import type * as messages from './ConfigurationMessage.js';

/** The newest committed configuration and the version of the table's head row that refers to it. */
export interface NewestVersion {
  readonly configuration: configurations.Configuration;

  /** The version of the head row; 0 when the row does not exist. */
  readonly rowVersion: number;
}

/** Reads the configuration document that a head row refers to. @throws BramleyrunError when it can't be read. */
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

/**
 * Reads the newest version from the platform's table.
 * @param current The configuration of this process; its document is reused when it is the newest version.
 * @throws BramleyrunError when the version can't be read.
 */
export async function readNewestOrThrow(
  services: kernel.ServiceDirectory,
  current: configurations.Configuration,
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
    head.version === current.version
      ? current.document
      : await readDocument(services, head);
  return {
    configuration: {version: head.version, document},
    rowVersion: row.version,
  };
}

/**
 * Gets the version that an earlier attempt of the same change committed; undefined when there is none.
 * @throws BramleyrunError when the audit record can't be read.
 */
export async function findCommittedVersion(
  services: kernel.ServiceDirectory,
  command: messages.PatchCommand,
): Promise<number | undefined> {
  const version = command.baseVersion + 1;
  const row = await readRowOrThrow(services, codecs.getAuditRowKey(version));
  if (row === undefined) return undefined;
  const record = codecs.parseJsonOrThrow(
    codecs.auditRecordSchema,
    row.value,
    'invalidRow',
  );
  return record.changeId === command.changeId ? version : undefined;
}

/**
 * Commits a new version and its audit record in one transaction.
 * @param changedAtMs The wall-clock time of the change in milliseconds.
 * @throws BramleyrunError of kind versionConflict, platformUnavailable or platformOutcomeUnknown.
 */
export async function commitOrThrow(
  services: kernel.ServiceDirectory,
  newest: NewestVersion,
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
      transaction: createTransaction(newest.rowVersion, head, record),
      reply,
    }));
  await checkCommittedOrThrow(services, result, command);
}

function createTransaction(
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

async function checkCommittedOrThrow(
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
      return await verifyCommitOrThrow(services, command);
    default:
      return errors.throwUnreachable(result);
  }
}

/** Determines by the change id in the audit record whether a transaction with an unknown outcome was committed. */
async function verifyCommitOrThrow(
  services: kernel.ServiceDirectory,
  command: messages.PatchCommand,
): Promise<void> {
  let committedVersion: number | undefined;
  try {
    committedVersion = await findCommittedVersion(services, command);
  } catch {
    committedVersion = undefined;
  }
  if (committedVersion !== undefined) return;
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
