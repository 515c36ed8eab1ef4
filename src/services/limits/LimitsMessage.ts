import * as kernel from '../../kernel/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as configurationService from '../configuration/index.js';
import type * as fleetService from '../fleet/index.js';

/** Whether an organisation's limits admit one more request now. */
export type AdmissionResult =
  | {readonly kind: 'granted'}
  | {
      readonly kind: 'refused';
      /** Monotonic time in milliseconds from which the request may be retried. */
      readonly retryAtMs: number;
    }
  /** No decision could be made, for instance because the home did not answer in time. */
  | {readonly kind: 'unavailable'};

/** The messages that the limits service receives. */
export type LimitsMessage =
  | configurationService.ConfigurationChanged
  | fleetService.FleetChanged
  | {
      readonly kind: 'admit';
      readonly organisationId: string;
      /** Monotonic time in milliseconds after which the sender no longer needs a reply. */
      readonly deadlineMs: number;
      readonly reply: kernel.Reply<AdmissionResult>;
    }
  /** Asks what `admit` would reply now; takes nothing from the limit. */
  | {
      readonly kind: 'previewAdmission';
      readonly organisationId: string;
      readonly reply: kernel.Reply<AdmissionResult>;
    }
  | {
      readonly kind: 'peerRequest';
      readonly request: Extract<
        peers.PeerRequest,
        {
          kind:
            | 'borrowShares'
            | 'returnShares'
            | 'takeTokens'
            | 'previewTokens'
            | 'settleTokens';
        }
      >;
      readonly reply: kernel.Reply<peers.PeerAnswer>;
    }
  | {readonly kind: 'tick'};

/** The name of the limits service, which enforces organisations' rates and bursts over the whole fleet. */
export const LIMITS = kernel.createServiceName<LimitsMessage>('limits');
