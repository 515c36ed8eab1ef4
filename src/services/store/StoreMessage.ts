import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as adapters from './StoreAdapter.js';

/** Sent to subscribers when the store has returned from an older copy. */
export interface TimelineBegun {
  readonly kind: 'timelineBegun';
}

/** The messages that the store service receives. */
export type StoreMessage =
  | {
      readonly kind: 'subscribeTimelines';
      readonly subscriber: kernel.Address<TimelineBegun>;
    }
  | {
      readonly kind: 'readOperatorRows';
      readonly reply: kernel.Reply<adapters.OperatorReadResult>;
    }
  | {
      readonly kind: 'awaitOperatorRows';
      readonly after: entry.StorePosition;
      readonly waitMs: number;

      /** Monotonic time in milliseconds at which the call times out. */
      readonly deadlineMs: number;
      readonly reply: kernel.Reply<adapters.OperatorReadResult>;
    }
  | {
      readonly kind: 'readUpstreamRows';
      readonly reply: kernel.Reply<adapters.UpstreamReadResult>;
    }
  | {
      readonly kind: 'readMembers';
      readonly reply: kernel.Reply<adapters.MemberReadResult>;
    }
  | {
      readonly kind: 'awaitMembers';
      readonly after: entry.StorePosition;
      readonly waitMs: number;
      readonly reply: kernel.Reply<adapters.MemberReadResult>;
    }
  | {
      readonly kind: 'writeMember';
      readonly member: entry.MemberRecord;
      readonly reply: kernel.Reply<adapters.StoreWriteResult>;
    }
  | {
      readonly kind: 'readPlacement';
      readonly reply: kernel.Reply<adapters.PlacementReadResult>;
    }
  | {
      readonly kind: 'writePlacement';
      readonly row: entry.PlacementRow;
      readonly reply: kernel.Reply<adapters.StoreWriteResult>;
    }
  | {
      readonly kind: 'removeMember';
      readonly vmId: string;
      readonly reply: kernel.Reply<adapters.StoreWriteResult>;
    };

/** The name of the store service, which calls the platform's store. */
export const STORE = kernel.createServiceName<StoreMessage>('store');
