import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as store from '../store/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';

/** Sent to subscribers again and again: what this process knows of its peers. */
export interface MembersChanged {
  readonly kind: 'membersChanged';

  /** This VM. */
  readonly selfId: string;

  /** What the peers that were heard lately said. */
  readonly statuses: readonly entry.MemberStatus[];

  /** This VM and the peers that callers may use. */
  readonly serving: readonly entry.MemberRecord[];

  /** Peers that may be serving, whether heard lately or not. */
  readonly otherCount: number;

  /** Whether that count says anything: after a start, peers are not known at first. */
  readonly areOthersKnown: boolean;

  /** Whether any peer was heard lately, or there is none. */
  readonly isConnected: boolean;
}

/** What the members service takes. */
export type MembersMessage =
  | {
      readonly kind: 'subscribe';
      readonly subscriber: kernel.Address<MembersChanged>;
    }
  | knowledgeService.OperatorRowsChanged
  | knowledgeService.UpstreamRowsChanged
  /** Tells all peers at once how much this VM uses of organisations' limits. */
  | {
      readonly kind: 'tellLimitUses';
      readonly limitUses: entry.LimitUses;
    }
  | {
      readonly kind: 'setServiceDemands';
      readonly demands: readonly entry.ServiceDemand[];
    }
  | {readonly kind: 'datagram'; readonly bytes: Uint8Array}
  | {
      readonly kind: 'membersRead';
      readonly reading: store.MemberReading;

      /** Monotonic time in milliseconds at which the call was sent. */
      readonly sentAtMs: number;
    }
  | {readonly kind: 'registered'; readonly write: store.StoreWrite}
  | {readonly kind: 'tick'}
  | {readonly kind: 'register'}
  | {readonly kind: 'readMembers'}
  /** Tells everyone that this process takes no new callers. */
  | {readonly kind: 'leave'};

/** The members service. */
export const MEMBERS = kernel.getServiceName<MembersMessage>('members');
