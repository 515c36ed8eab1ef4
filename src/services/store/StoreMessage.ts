import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as adapters from './StoreAdapter.js';

/** The messages that the store service receives. */
export type StoreMessage =
  | {
      readonly kind: 'readOperatorRows';
      readonly reply: kernel.Reply<adapters.OperatorReading>;
    }
  | {
      readonly kind: 'awaitOperatorRows';
      readonly afterTableVersion: number;
      readonly waitMs: number;

      /** Monotonic time in milliseconds at which the call times out. */
      readonly deadlineMs: number;
      readonly reply: kernel.Reply<adapters.OperatorReading>;
    }
  | {
      readonly kind: 'readUpstreamRows';
      readonly reply: kernel.Reply<adapters.UpstreamReading>;
    }
  | {
      readonly kind: 'readMembers';
      readonly reply: kernel.Reply<adapters.MemberReading>;
    }
  | {
      readonly kind: 'awaitMembers';
      readonly afterTableVersion: number;
      readonly waitMs: number;
      readonly reply: kernel.Reply<adapters.MemberReading>;
    }
  | {
      readonly kind: 'writeMember';
      readonly member: entry.MemberRecord;
      readonly reply: kernel.Reply<adapters.StoreWrite>;
    }
  | {
      readonly kind: 'removeMember';
      readonly vmId: string;
      readonly reply: kernel.Reply<adapters.StoreWrite>;
    };

/** The name of the store service, which calls the platform's store. */
export const STORE = kernel.getServiceName<StoreMessage>('store');
