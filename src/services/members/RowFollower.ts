import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as store from '../store/index.js';

/**
 * The shortest time in milliseconds between the starts of two calls that read the VMs' rows. One answer then contains
 * all VMs that start together, and a new peer is still discovered well within the bound on applying a configuration.
 */
export const MIN_FOLLOW_INTERVAL_MS = 1000;

/** The delay in milliseconds before a failed call to the store is retried while no rows have been read. */
export const RETRY_DELAY_MS = 400;

/** How long one call to the store waits for changes of the VMs' rows: half of the store's maximum. */
const FOLLOW_WAIT_MS = 15_000;

/**
 * How long in milliseconds rows count that are no longer followed: as long as a silent VM may be serving. Later, only
 * VMs that were heard are peers.
 */
const UNFOLLOWED_ROWS_TERM_MS = 20_000;

/** The VMs' rows as far as this VM has read them, and how it reads on. */
export class RowFollower {
  private readonly selfId: string;
  private rows: decisions.MemberRegistry | undefined;
  private mode: decisions.TableReadMode = {
    kind: 'snapshot',
    cause: 'changesMissed',
  };
  private unfollowedSinceMs: number | undefined;
  private isPending = false;

  /** @param selfId The identifier of this VM, whose row is not a peer's. */
  constructor(selfId: string) {
    this.selfId = selfId;
  }

  /** Whether the rows have been read at least once. */
  get hasRows(): boolean {
    return this.rows !== undefined;
  }

  /** Whether a call to the store is in progress. */
  get isReadPending(): boolean {
    return this.isPending;
  }

  /** Begins a call, and returns the message to send to the store. */
  startRead(reply: kernel.Reply<store.MemberReadResult>): store.StoreMessage {
    this.isPending = true;
    this.unfollowedSinceMs = undefined;
    switch (this.mode.kind) {
      case 'snapshot':
        return {kind: 'readMembers', reply};
      case 'changes':
        return {
          kind: 'awaitMembers',
          after: this.mode.after,
          waitMs: FOLLOW_WAIT_MS,
          reply,
        };
    }
  }

  /** Lets the next call return all rows: the store has returned from an older copy. */
  requireSnapshot(): void {
    this.mode = {kind: 'snapshot', cause: 'storeReturned'};
  }

  /** Records that other VMs follow the rows instead of this one. */
  pause(nowMs: number): void {
    this.unfollowedSinceMs ??= nowMs;
  }

  /** Applies the answer of the store; returns whether it brought rows. */
  endRead(result: store.MemberReadResult): boolean {
    this.isPending = false;
    switch (result.kind) {
      case 'snapshot': {
        const {position, members} = result;
        this.setRows({
          position,
          members: new Map(members.map(member => [member.vmId, member])),
        });
        return true;
      }
      case 'changes': {
        const {position, changes} = result;
        // The changes are those after a position that was given out again.
        if (!this.isFollowing(position)) {
          this.requireSnapshot();
          return false;
        }
        // An answer without changes may have missed one; the next call repeats the position and returns the change.
        if (this.rows === undefined || changes.length === 0) return false;
        this.setRows(
          decisions.applyMemberChanges(this.rows, position, changes),
        );
        return true;
      }
      case 'historyGone':
      case 'unavailable':
        this.mode = {kind: 'snapshot', cause: 'changesMissed'};
        return false;
      default:
        return errors.throwUnreachable(result);
    }
  }

  /** Gets the monotonic time in milliseconds of the next call, after one that was sent at `sentAtMs`. */
  getNextReadAtMs(sentAtMs: number): number {
    return sentAtMs + (this.hasRows ? MIN_FOLLOW_INTERVAL_MS : RETRY_DELAY_MS);
  }

  /** Gets the registered peers, unless the rows have not been followed for a while. */
  getPeers(nowMs: number): readonly entry.MemberRecord[] {
    const {unfollowedSinceMs} = this;
    if (
      unfollowedSinceMs !== undefined &&
      nowMs - unfollowedSinceMs >= UNFOLLOWED_ROWS_TERM_MS
    )
      return [];
    return [...(this.rows?.members.values() ?? [])].filter(
      member => member.vmId !== this.selfId,
    );
  }

  private isFollowing({timeline}: entry.StorePosition): boolean {
    return (
      this.mode.kind === 'changes' &&
      decisions.compareTimelines(timeline, this.mode.after.timeline) === 'equal'
    );
  }

  private setRows(rows: decisions.MemberRegistry): void {
    this.rows = rows;
    this.mode = {kind: 'changes', after: rows.position};
  }
}
