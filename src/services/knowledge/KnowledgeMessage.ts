import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as membersService from '../members/index.js';
import type * as store from '../store/index.js';

/** Where rows were read: in the platform's store, at a peer, or by a reader that announced them. */
export type RowSource = 'store' | 'peer' | 'reader';

/** Sent to subscribers with the rows that operators wrote, after each successful read and each answer of a peer. */
export interface OperatorRowsChanged {
  readonly kind: 'operatorRowsChanged';
  readonly rows: entry.OperatorRows;

  /** Monotonic time in milliseconds up to which no newer version of the rows has to be in force. */
  readonly freshUntilMs: number;
}

/** Sent to subscribers with all current upstreams, after each successful read and each newer answer of a peer. */
export interface UpstreamRowsChanged {
  readonly kind: 'upstreamRowsChanged';
  readonly position: entry.StorePosition;
  readonly upstreams: readonly entry.UpstreamRecord[];

  /** Monotonic time in milliseconds at which the read was sent, or at which a peer's answer was applied. */
  readonly readAtMs: number;

  /** Who answered the read. */
  readonly source: RowSource;
}

/** The messages that the knowledge service receives. */
export type KnowledgeMessage =
  | {
      readonly kind: 'subscribeOperatorRows';
      readonly subscriber: kernel.Address<OperatorRowsChanged>;
    }
  | {
      readonly kind: 'subscribeUpstreamRows';
      readonly subscriber: kernel.Address<UpstreamRowsChanged>;
    }
  | membersService.MembersChanged
  | store.TimelineBegun
  | {
      readonly kind: 'operatorRowsRead';
      readonly result: store.OperatorReadResult;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'upstreamRowsRead';
      readonly result: store.UpstreamReadResult;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'peerKnowledgeReceived';
      readonly operatorRows: entry.OperatorRows | undefined;
      readonly upstreamRows: entry.UpstreamRows | undefined;
    }
  | {readonly kind: 'peerFailed'; readonly vmId: string}
  /** How this VM gets its rows has changed. */
  | {
      readonly kind: 'readingChanged';
      readonly reading: decisions.RowReading;

      /** Whether the readers say that the store is unavailable. */
      readonly isStoreUnavailable: boolean;
    }
  /** A reader has announced rows. */
  | {
      readonly kind: 'readerRowsReceived';
      readonly readerId: string;
      readonly upstreams: decisions.RowsClaim<entry.UpstreamRows> | undefined;
      readonly operators: decisions.RowsClaim<entry.OperatorRows> | undefined;
    }
  /** The VM was suspended for a time that the monotonic clock has not counted. */
  | {readonly kind: 'clockStoodStill'; readonly suspendedMs: number}
  | {readonly kind: 'followOperatorRows'}
  | {readonly kind: 'pollUpstreamRows'}
  /** Requests all rows that this process holds, for a peer that cannot reach the store. */
  | {
      readonly kind: 'getKnowledge';
      readonly reply: kernel.Reply<{
        readonly operatorRows: entry.OperatorRows | undefined;
        readonly upstreamRows: entry.UpstreamRows | undefined;
      }>;
    };

/** The name of the knowledge service, which holds the rows that operators and upstreams wrote to the store. */
export const KNOWLEDGE =
  kernel.createServiceName<KnowledgeMessage>('knowledge');
