import * as kernel from '../../kernel/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as configurationService from '../configuration/index.js';
import type * as fleetService from '../fleet/index.js';

/** Whether an organisation may run one more request now. */
export type AdmissionResult =
  | {readonly kind: 'granted'}
  | {
      readonly kind: 'refused';
      /** Monotonic time in milliseconds from which a repeat makes sense. */
      readonly retryAtMs: number;
    }
  /** Nobody could say. */
  | {readonly kind: 'unavailable'};

/** What the limits service takes. */
export type LimitsMessage =
  | configurationService.ConfigurationChanged
  | fleetService.FleetChanged
  | {
      readonly kind: 'admit';
      readonly organisationId: string;
      /** Monotonic time in milliseconds after which the answer is of no use. */
      readonly deadlineMs: number;
      readonly reply: kernel.Reply<AdmissionResult>;
    }
  | {
      readonly kind: 'peerRequest';
      readonly request: Extract<
        peers.PeerRequest,
        {kind: 'borrowShares' | 'returnShares' | 'takeTokens' | 'settleTokens'}
      >;
      readonly reply: kernel.Reply<peers.PeerAnswer>;
    }
  | {readonly kind: 'tick'};

/** The limits service. */
export const LIMITS = kernel.getServiceName<LimitsMessage>('limits');
