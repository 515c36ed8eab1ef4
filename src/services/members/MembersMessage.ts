import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as store from '../store/index.js';
import type * as knowledgeService from '../knowledge/KnowledgeMessage.js';

/** Lists the peers of this process. Sent to subscribers periodically, and at once when a peer joins or leaves. */
export interface MembersChanged {
  readonly kind: 'membersChanged';

  /** The identifier of this VM. */
  readonly selfId: string;

  /** The latest status of each peer from which a datagram arrived recently. */
  readonly peerStatuses: readonly entry.MemberStatus[];

  /** The VMs that accept callers: this VM and the peers that sent a datagram recently, except VMs that are leaving. */
  readonly servingMembers: readonly entry.MemberRecord[];

  /** The number of peers that may be serving, including those from which no datagram arrived recently. */
  readonly peerCount: number;

  /** Whether the number of peers is known; false after a start until the store's rows or a peer's datagram arrive. */
  readonly isPeerCountKnown: boolean;

  /** Whether a datagram from any peer arrived recently, or no peers are known. */
  readonly isConnected: boolean;
}

/** Another VM received a response in which an upstream said that it leaves. */
export interface UpstreamLeaving {
  readonly kind: 'upstreamLeaving';
  readonly start: entry.UpstreamStart;
}

/** Another VM reported requests that may crash upstreams. */
export interface SuspectsAnnounced {
  readonly kind: 'suspectsAnnounced';
  readonly suspects: readonly peers.SuspectReport[];
}

/** The messages that the members service receives. */
export type MembersMessage =
  | {
      readonly kind: 'subscribe';
      readonly subscriber: kernel.Address<MembersChanged>;
    }
  | {
      readonly kind: 'subscribeLeavingUpstreams';
      readonly subscriber: kernel.Address<UpstreamLeaving>;
    }
  | {
      readonly kind: 'subscribeSuspects';
      readonly subscriber: kernel.Address<SuspectsAnnounced>;
    }
  /** Reports requests that may crash upstreams to all peers. */
  | {
      readonly kind: 'announceSuspects';
      readonly suspects: readonly peers.SuspectReport[];
    }
  /** Informs all peers that an upstream told this VM that it leaves. */
  | {
      readonly kind: 'announceLeavingUpstream';
      readonly start: entry.UpstreamStart;
    }
  | knowledgeService.OperatorRowsChanged
  | knowledgeService.UpstreamRowsChanged
  /** Sends this VM's use of the organisations' limits to all peers at once. */
  | {
      readonly kind: 'publishLimitUses';
      readonly limitUseReport: entry.LimitUseReport;
    }
  | {
      readonly kind: 'setServiceDemands';
      readonly demands: readonly entry.ServiceDemand[];
    }
  | {readonly kind: 'datagram'; readonly bytes: Uint8Array}
  | {
      readonly kind: 'membersRead';
      readonly result: store.MemberReadResult;

      /** Monotonic time in milliseconds at which the call was sent. */
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'registrationResult';
      readonly result: store.StoreWriteResult;
    }
  | {readonly kind: 'tick'}
  /** Publishes the peers that have been heard since the last publication. */
  | {readonly kind: 'publish'}
  | {readonly kind: 'register'}
  | {readonly kind: 'readMembers'}
  /** Informs peers and subscribers that this process accepts no new callers, and removes its row from the store. */
  | {readonly kind: 'leave'};

/** The name of the members service, which maintains the list of entry VMs that are running. */
export const MEMBERS = kernel.createServiceName<MembersMessage>('members');
