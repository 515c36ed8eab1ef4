import * as kernel from '../../kernel/index.js';
import type * as peers from '../../model/peers/index.js';

/** How a call to another daemon ended. */
export type CallResult =
  | {readonly kind: 'answered'; readonly answer: peers.PeerAnswer}
  /** No process listens at the address. */
  | {readonly kind: 'connectionRefused'}
  | {readonly kind: 'failed'};

/** What the peers service takes. */
export type PeersMessage =
  | {
      readonly kind: 'call';
      readonly peersAddress: string;
      readonly request: peers.PeerRequest;
      /** Monotonic time in milliseconds after which no answer is waited for. */
      readonly deadlineMs: number;
      readonly reply: kernel.Reply<CallResult>;
    }
  | {readonly kind: 'getAddress'; readonly reply: kernel.Reply<string>};

/** The peers service. */
export const PEERS = kernel.getServiceName<PeersMessage>('peers');
