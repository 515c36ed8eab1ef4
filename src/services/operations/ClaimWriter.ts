import * as codecs from '../../codecs/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import type * as operations from '../../model/operations/index.js';
import type * as platform from '../../model/platform/index.js';
import * as platformService from '../platform/index.js';

/** Claims that share one transaction at the most. */
const MAX_BATCH = 40;

/** How the writing of a claim ended. */
export type ClaimResult =
  | {readonly kind: 'claimed'; readonly rowVersion: number}
  /** Another claim exists, or existed while this one was written. */
  | {readonly kind: 'conflict'}
  /** The claim was certainly not written. */
  | {readonly kind: 'unavailable'}
  /** The claim may have been written. */
  | {readonly kind: 'outcomeUnknown'};

/** A claim to be written over a row of a known version. */
export interface ClaimWrite {
  readonly rowKey: string;

  /** The version that the row must have; 0 when it must not be there. */
  readonly expectedVersion: number;

  readonly claim: operations.Claim;
}

interface Pending extends ClaimWrite {
  readonly resolve: (result: ClaimResult) => void;
}

/** Writes the claims of many requests in one transaction, one transaction at a time. */
export class ClaimWriter {
  private readonly services: kernel.ServiceDirectory;
  private pending: readonly Pending[] = [];
  private isWriting = false;

  /** @param services Finds the platform. */
  constructor(services: kernel.ServiceDirectory) {
    this.services = services;
  }

  /** Writes a claim together with others that come at the same time. */
  write(write: ClaimWrite): Promise<ClaimResult> {
    return new Promise(resolve => {
      this.pending = [...this.pending, {...write, resolve}];
      void this.flush();
    });
  }

  private async flush(): Promise<void> {
    if (this.isWriting) return;
    this.isWriting = true;
    while (this.pending.length > 0) {
      const batch = this.pending.slice(0, MAX_BATCH);
      this.pending = this.pending.slice(MAX_BATCH);
      await this.writeBatch(batch);
    }
    this.isWriting = false;
  }

  private async writeBatch(batch: readonly Pending[]): Promise<void> {
    const result = await this.transact(batch);
    switch (result.kind) {
      case 'committed':
        for (const entry of batch)
          entry.resolve({kind: 'claimed', rowVersion: result.version});
        return;
      case 'conflict':
        await this.writeOthers(batch, result.key);
        return;
      case 'unavailable':
        for (const entry of batch) entry.resolve({kind: 'unavailable'});
        return;
      case 'outcomeUnknown':
        await this.readBack(batch);
        return;
      default:
        errors.throwUnreachable(result);
    }
  }

  private async writeOthers(
    batch: readonly Pending[],
    conflictKey: string,
  ): Promise<void> {
    const failed = batch.filter(entry => entry.rowKey === conflictKey);
    const others = batch.filter(entry => entry.rowKey !== conflictKey);
    for (const entry of failed) entry.resolve({kind: 'conflict'});
    if (others.length > 0) await this.writeBatch(others);
  }

  private async transact(
    batch: readonly Pending[],
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

  /** Settles a lost answer by the attempts' own ids. */
  private async readBack(batch: readonly Pending[]): Promise<void> {
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

/** A claim as it is stored in the table. */
export interface ClaimRow {
  readonly rowKey: string;
  readonly rowVersion: number;
  readonly claim: operations.Claim;
}

/** Reads the claims stored under some keys, or nothing when the table gives no rows. */
export async function readClaims(
  services: kernel.ServiceDirectory,
  rowKeys: readonly string[],
): Promise<readonly ClaimRow[] | undefined> {
  return await readRows(services, {kind: 'keys', keys: rowKeys});
}

/** Reads claims in the order of their keys, or nothing when the table gives no rows. */
export async function readAllClaims(
  services: kernel.ServiceDirectory,
  limit: number,
): Promise<readonly ClaimRow[] | undefined> {
  const prefix = codecs.CLAIM_ROW_PREFIX;
  return await readRows(services, {
    kind: 'prefix',
    prefix,
    afterKey: '',
    limit,
  });
}

async function readRows(
  services: kernel.ServiceDirectory,
  request: codecs.ReadRequest,
): Promise<readonly ClaimRow[] | undefined> {
  const result = await services
    .getOrThrow(platformService.PLATFORM)
    .ask<platform.ReadResult>(reply => ({kind: 'read', request, reply}));
  if (result.kind === 'unavailable') return undefined;
  return result.rows.map(row => ({
    rowKey: row.key,
    rowVersion: row.version,
    claim: codecs.parseJsonOrThrow(codecs.claimSchema, row.value, 'invalidRow'),
  }));
}
