import * as kernel from '../../kernel/index.js';
import type * as peers from '../../model/peers/index.js';

/** The result of a call to another daemon. */
export type CallResult =
  | {readonly kind: 'answered'; readonly answer: peers.PeerAnswer}
  /** No process listens at the address. */
  | {readonly kind: 'connectionRefused'}
  /** The call timed out, the connection failed or the peer returned an error. */
  | {readonly kind: 'failed'};

/** The messages that the peers service accepts. */
export type PeersMessage =
  /** Sends a request to another daemon and replies with the result. */
  | {
      readonly kind: 'call';
      readonly peersAddress: string;
      readonly request: peers.PeerRequest;
      /** Monotonic time in milliseconds after which the call fails. */
      readonly deadlineMs: number;
      /** Monotonic time after which the call fails even while its answer arrives; `deadlineMs` when omitted. */
      readonly lastDeadlineMs?: number;
      readonly reply: kernel.Reply<CallResult>;
    }
  /** Returns the address of the peers' listener as host:port. */
  | {readonly kind: 'getAddress'; readonly reply: kernel.Reply<string>};

/** The service that exchanges requests with the other daemons. */
export const PEERS = kernel.createServiceName<PeersMessage>('peers');
