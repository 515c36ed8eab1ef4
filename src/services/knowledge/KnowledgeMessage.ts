import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as membersService from '../members/index.js';
import type * as store from '../store/index.js';

/** Sent to subscribers when the operators' rows change, or when they turn stale or certain again. */
export interface OperatorRowsChanged {
  readonly kind: 'operatorRowsChanged';
  readonly rows: entry.OperatorRows;

  /** Monotonic time in milliseconds until which nothing newer is expected to be in force. */
  readonly certainUntilMs: number;
}

/** Sent to subscribers when upstreams come, go or change. */
export interface UpstreamRowsChanged {
  readonly kind: 'upstreamRowsChanged';
  readonly tableVersion: number;
  readonly upstreams: readonly entry.UpstreamRecord[];

  /** Monotonic time in milliseconds at which the rows were read. */
  readonly readAtMs: number;
}

/** What the knowledge service takes. */
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
  | {
      readonly kind: 'operatorReading';
      readonly reading: store.OperatorReading;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'upstreamReading';
      readonly reading: store.UpstreamReading;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'peerKnowledge';
      readonly operatorRows: entry.OperatorRows | undefined;
      readonly upstreamRows: entry.UpstreamRows | undefined;
    }
  | {readonly kind: 'peerFailed'; readonly vmId: string}
  | {readonly kind: 'followOperatorRows'}
  | {readonly kind: 'pollUpstreamRows'}
  /** Answers a peer that cannot reach the store. */
  | {
      readonly kind: 'getKnowledge';
      readonly reply: kernel.Reply<{
        readonly operatorRows: entry.OperatorRows | undefined;
        readonly upstreamRows: entry.UpstreamRows | undefined;
      }>;
    };

/** The knowledge service. */
export const KNOWLEDGE = kernel.getServiceName<KnowledgeMessage>('knowledge');
