import type * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

/** One row that an operator wrote or dropped. */
export type OperatorChange =
  | {
      readonly kind: 'configuration';
      readonly configuration: entry.EntryConfiguration;
    }
  | {readonly kind: 'evacuated'; readonly failureDomain: string}
  | {readonly kind: 'restored'; readonly failureDomain: string}
  | {
      readonly kind: 'unreadable';
      readonly key: string;
      readonly reason: string;
    };

/** What a reading of the operators' rows brought. */
export type OperatorReading =
  /** All rows as of one version. */
  | {
      readonly kind: 'snapshot';
      readonly tableVersion: number;
      readonly changes: readonly OperatorChange[];
    }
  /** The rows that changed since the version that was asked for. */
  | {
      readonly kind: 'changes';
      readonly tableVersion: number;
      readonly changes: readonly OperatorChange[];
    }
  /** The changes since that version are no longer known. */
  | {readonly kind: 'historyGone'}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** What a reading of the upstreams' entries brought. */
export type UpstreamReading =
  | {
      readonly kind: 'snapshot';
      readonly tableVersion: number;
      readonly upstreams: readonly entry.UpstreamRecord[];
      readonly unreadable: readonly {
        readonly key: string;
        readonly reason: string;
      }[];
    }
  | {readonly kind: 'unavailable'; readonly reason: string};

/** What a reading of the entry VMs' own rows brought. */
export type MemberReading =
  /** All rows as of one version. */
  | {
      readonly kind: 'snapshot';
      readonly tableVersion: number;
      readonly members: readonly entry.MemberRecord[];
    }
  /** The rows that changed since the version that was asked for, in order. */
  | {
      readonly kind: 'changes';
      readonly tableVersion: number;
      readonly changes: readonly decisions.MemberChange[];
    }
  /** The changes since that version are no longer known. */
  | {readonly kind: 'historyGone'}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** How a write of a row of ours ended. */
export type StoreWrite =
  | {readonly kind: 'written'}
  | {readonly kind: 'unavailable'; readonly reason: string};

/** What entry VMs need of a platform's store; each platform brings one of these. */
export interface StoreAdapter {
  /** Reads all that operators wrote. */
  readOperatorRows(timeoutMs: number): Promise<OperatorReading>;

  /** Waits up to `waitMs` for a change of the operators' rows after a table version. */
  awaitOperatorRows(
    afterTableVersion: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<OperatorReading>;

  /** Reads the upstreams' entries. */
  readUpstreamRows(timeoutMs: number): Promise<UpstreamReading>;

  /** Reads the rows of the entry VMs. */
  readMembers(timeoutMs: number): Promise<MemberReading>;

  /** Waits up to `waitMs` for a change of the entry VMs' rows after a table version. */
  awaitMembers(
    afterTableVersion: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<MemberReading>;

  /** Writes the row of an entry VM. */
  writeMember(
    member: entry.MemberRecord,
    timeoutMs: number,
  ): Promise<StoreWrite>;

  /** Removes the row of an entry VM. */
  removeMember(vmId: string, timeoutMs: number): Promise<StoreWrite>;

  /** Lets go of connections. */
  close(): Promise<void>;
}
