import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as configurationService from '../configuration/index.js';
import type * as fleetService from '../fleet/index.js';

/** A request that was refused, and why. */
export interface Refusal {
  readonly requestId: string;

  /** Wall-clock time in milliseconds. */
  readonly refusedAtMs: number;

  readonly error: string;
  readonly message: string;
}

/** What the callers service takes. */
export type CallersMessage =
  | configurationService.ConfigurationChanged
  | fleetService.FleetChanged
  | {readonly kind: 'getAddress'; readonly reply: kernel.Reply<string>}
  | {
      readonly kind: 'steer';
      readonly clientAddress: string;
      readonly organisationId: string;
      readonly reply: kernel.Reply<decisions.SteeringAnswer>;
    }
  | {
      readonly kind: 'explain';
      readonly organisationId: string;
      readonly reply: kernel.Reply<readonly Refusal[]>;
    }
  /** Lets steering answers run out, finishes all requests and closes. */
  | {readonly kind: 'drain'; readonly reply: kernel.Reply<void>};

/** The callers service. */
export const CALLERS = kernel.getServiceName<CallersMessage>('callers');
