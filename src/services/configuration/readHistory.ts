import * as codecs from '../../codecs/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as platform from '../../model/platform/index.js';
import * as platformService from '../platform/index.js';
import type * as messages from './ConfigurationMessage.js';

/**
 * Reads up to `limit` audit records of the versions after `afterVersion`, oldest first.
 * @throws BramleyrunError when a record is invalid.
 */
export async function readHistory(
  services: kernel.ServiceDirectory,
  afterVersion: number,
  limit: number,
): Promise<messages.HistoryResult> {
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.ReadResult>(reply => ({
      kind: 'read',
      request: {
        kind: 'prefix',
        prefix: codecs.AUDIT_ROW_PREFIX,
        afterKey: codecs.getAuditRowKey(afterVersion),
        limit,
      },
      reply,
    }));
  if (result.kind === 'unavailable') {
    const message = 'the table gives no rows';
    return {
      kind: 'failed',
      error: errors.createError('platformUnavailable', message),
    };
  }
  const records = result.rows.map(row =>
    codecs.parseJsonOrThrow(codecs.auditRecordSchema, row.value, 'invalidRow'),
  );
  return {kind: 'records', records};
}
