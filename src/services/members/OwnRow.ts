import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as store from '../store/index.js';

/** How long a stop waits for the store to remove this VM's row, counted from the request. */
const REMOVAL_TIMEOUT_MS = 1000;

/** A removal of this VM's row that has begun. */
export interface RowRemoval {
  /** Settles when the store has answered. */
  readonly removed: Promise<unknown>;

  /** Monotonic time in milliseconds until which a stop waits for the store's answer. */
  readonly deadlineMs: number;
}

/** This VM's row in the store, which is removed only once no write of it is in progress. */
export class OwnRow {
  private readonly member: entry.MemberRecord;
  private removal: RowRemoval | undefined;

  /** Settles when the store has answered all requests to write the row. */
  private written: Promise<unknown> = Promise.resolve();

  /** @param member This VM's record. */
  constructor(member: entry.MemberRecord) {
    this.member = member;
  }

  /** Writes the row, and passes the store's answer to `onResult`. */
  write(
    address: kernel.Address<store.StoreMessage>,
    onResult: (result: store.StoreWriteResult) => void,
  ): void {
    const written = address
      .ask<store.StoreWriteResult>(reply => ({
        kind: 'writeMember',
        member: this.member,
        reply,
      }))
      .then(onResult);
    this.written = Promise.all([this.written, written]);
  }

  /** Begins to remove the row at the monotonic time `nowMs`, in milliseconds; repeated calls share one removal. */
  remove(
    address: kernel.Address<store.StoreMessage>,
    nowMs: number,
  ): RowRemoval {
    this.removal ??= {
      removed: this.removeAfterWrite(address),
      deadlineMs: nowMs + REMOVAL_TIMEOUT_MS,
    };
    return this.removal;
  }

  /** A write in progress could come after the removal. */
  private async removeAfterWrite(
    address: kernel.Address<store.StoreMessage>,
  ): Promise<void> {
    await this.written;
    await address.ask<store.StoreWriteResult>(reply => ({
      kind: 'removeMember',
      vmId: this.member.vmId,
      reply,
    }));
  }
}
