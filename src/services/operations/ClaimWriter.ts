import * as codecs from '../../codecs/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as platform from '../../model/platform/index.js';
import * as logs from '../logs/index.js';
import * as platformService from '../platform/index.js';

/** Maximum number of claims in one transaction. */
const MAX_BATCH_CLAIMS = 40;

/** The result of writing a claim. */
export type ClaimResult =
  | {readonly kind: 'claimed'; readonly rowVersion: number}
  /** The row does not have the expected version: another claim was written or deleted in the meantime. */
  | {readonly kind: 'conflict'}
  /** The claim was certainly not written. */
  | {readonly kind: 'unavailable'}
  /** The claim may have been written. */
  | {readonly kind: 'outcomeUnknown'};

/** A claim to be written, and the version that its row must have. */
export interface ClaimWrite {
  readonly rowKey: string;

  /** The version that the row must have; 0 when the row must not exist. */
  readonly expectedVersion: number;

  readonly claim: operations.Claim;
}

interface PendingWrite extends ClaimWrite {
  readonly resolve: (result: ClaimResult) => void;
}

/** Batches the claims of concurrent requests into transactions and runs one transaction at a time. */
export class ClaimWriter {
  private readonly services: kernel.ServiceDirectory;
  private pendingWrites: readonly PendingWrite[] = [];
  private isWriting = false;

  /** @param services Used to find the platform service. */
  constructor(services: kernel.ServiceDirectory) {
    this.services = services;
  }

  /** Writes a claim, in one transaction with other claims that are pending at the same time. */
  write(write: ClaimWrite): Promise<ClaimResult> {
    return new Promise(resolve => {
      this.pendingWrites = [...this.pendingWrites, {...write, resolve}];
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    while (this.pendingWrites.length > 0) {
      const batch = this.pendingWrites.slice(0, MAX_BATCH_CLAIMS);
      this.pendingWrites = this.pendingWrites.slice(MAX_BATCH_CLAIMS);
      await this.writeBatch(batch);
    }
    this.isWriting = false;
  }

  private async writeBatch(batch: readonly PendingWrite[]): Promise<void> {
    const result = await this.transact(batch);
    switch (result.kind) {
      case 'committed':
        for (const entry of batch)
          entry.resolve({kind: 'claimed', rowVersion: result.version});
        return;
      case 'conflict':
        await this.retryWithoutConflict(batch, result.key);
        return;
      case 'unavailable':
        for (const entry of batch) entry.resolve({kind: 'unavailable'});
        return;
      case 'outcomeUnknown':
        await this.verifyBatch(batch);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  private async retryWithoutConflict(
    batch: readonly PendingWrite[],
    conflictKey: string,
  ): Promise<void> {
    const failed = batch.filter(entry => entry.rowKey === conflictKey);
    const others = batch.filter(entry => entry.rowKey !== conflictKey);
    for (const entry of failed) entry.resolve({kind: 'conflict'});
    if (others.length > 0) await this.writeBatch(others);
  }

  private async transact(
    batch: readonly PendingWrite[],
  ): Promise<platform.TransactionResult> {
    return await this.services
      .getOrThrow(platformService.PLATFORM)
      .ask<platform.TransactionResult>(reply => ({
        kind: 'transact',
        transaction: {
          checks: batch.map(({rowKey, expectedVersion}) => ({
            key: rowKey,
            version: expectedVersion,
          })),
          writes: batch.map(({rowKey, claim}) => ({
            kind: 'put',
            key: rowKey,
            value: JSON.stringify(claim),
          })),
        },
        reply,
      }));
  }

  /** Determines by the attempt ids in the table whether a transaction with an unknown outcome was committed. */
  private async verifyBatch(batch: readonly PendingWrite[]): Promise<void> {
    const result = await readClaims(
      this.services,
      batch.map(entry => entry.rowKey),
    );
    for (const entry of batch) {
      const found = result?.find(row => row.rowKey === entry.rowKey);
      const isOwn = found?.claim.attemptId === entry.claim.attemptId;
      if (found !== undefined && isOwn)
        entry.resolve({kind: 'claimed', rowVersion: found.rowVersion});
      else entry.resolve({kind: 'outcomeUnknown'});
    }
  }
}

/** A claim and its row in the platform's table. */
export interface ClaimRow {
  readonly rowKey: string;
  readonly rowVersion: number;
  readonly claim: operations.Claim;
}

/** Reads the claims with the given row keys; undefined when the table or one of the rows can't be read. */
export async function readClaims(
  services: kernel.ServiceDirectory,
  rowKeys: readonly string[],
): Promise<readonly ClaimRow[] | undefined> {
  const rows = await readClaimRows(services, {kind: 'keys', keys: rowKeys});
  if (rows === undefined) return undefined;
  // An invalid row is not the same as no row: its claim may stand.
  const claims = rows.flatMap(row => decodeClaimRow(services, row) ?? []);
  return claims.length === rows.length ? claims : undefined;
}

/**
 * Reads up to `limit` claims in the order of their row keys, without those whose rows are invalid; undefined when the
 * table can't be read.
 */
export async function readAllClaims(
  services: kernel.ServiceDirectory,
  limit: number,
): Promise<readonly ClaimRow[] | undefined> {
  const prefix = codecs.CLAIM_ROW_PREFIX;
  const rows = await readClaimRows(services, {
    kind: 'prefix',
    prefix,
    afterKey: '',
    limit,
  });
  return rows?.flatMap(row => decodeClaimRow(services, row) ?? []);
}

async function readClaimRows(
  services: kernel.ServiceDirectory,
  request: codecs.ReadRequest,
): Promise<readonly platform.TableRow[] | undefined> {
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.ReadResult>(reply => ({kind: 'read', request, reply}));
  return result.kind === 'unavailable' ? undefined : result.rows;
}

/** Decodes a claim's row; logs an invalid one and returns undefined. */
function decodeClaimRow(
  services: kernel.ServiceDirectory,
  row: platform.TableRow,
): ClaimRow | undefined {
  try {
    const claim = codecs.parseJsonOrThrow(
      codecs.claimSchema,
      row.value,
      'invalidRow',
    );
    return {rowKey: row.key, rowVersion: row.version, claim};
  } catch (thrown) {
    services.getOrThrow(logs.LOG).post({
      kind: 'event',
      level: 'error',
      name: 'rowUnreadable',
      fields: {row: row.key, message: errors.toError(thrown).message},
    });
    return undefined;
  }
}
