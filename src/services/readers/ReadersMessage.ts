import * as kernel from '../../kernel/index.js';
import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as membersService from '../members/MembersMessage.js';
import type * as peersService from '../peers/PeersMessage.js';

/** The messages that the readers service receives. */
export type ReadersMessage =
  | membersService.MembersChanged
  /** This VM has read the upstreams' rows from the store. */
  | {
      readonly kind: 'upstreamRowsRead';
      readonly rows: entry.UpstreamRows;

      /** Monotonic time in milliseconds at which the read was sent. */
      readonly currentAtMs: number;
    }
  /** This VM has read the operators' rows from the store, or has learnt that they are unchanged. */
  | {
      readonly kind: 'operatorRowsRead';
      readonly rows: entry.OperatorRows;

      /** Monotonic time in milliseconds up to which the rows were current. */
      readonly currentAtMs: number;
    }
  /** The store did not answer this VM's read of the upstreams' rows. */
  | {readonly kind: 'upstreamReadFailed'}
  /** A reader announced rows to this VM. */
  | {
      readonly kind: 'rowsAnnounced';
      readonly announcement: peers.RowsAnnouncement;
      readonly reply: kernel.Reply<peers.RowsReceipt>;
    }
  /** A VM has answered an announcement of this VM, or has not. */
  | {
      readonly kind: 'announcementEnded';
      readonly vmId: string;
      readonly processId: string;

      /** The epoch of this VM's clock in which the announcement was sent. */
      readonly epoch: number;
      readonly result: peersService.CallResult;
    };

/** The name of the readers service, by which the VMs of a large region share reads of the store. */
export const READERS = kernel.createServiceName<ReadersMessage>('readers');
