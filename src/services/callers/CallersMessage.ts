import type * as decisions from '../../decisions/index.js';
import * as kernel from '../../kernel/index.js';
import type * as operators from '../../model/operators/index.js';
import type * as configurationService from '../configuration/index.js';
import type * as fleetService from '../fleet/index.js';
import type * as previews from './RequestPreview.js';

/** A rejected request and the reason for its rejection. */
export interface Refusal {
  /** The id of the request, as sent to the caller in the response headers. */
  readonly requestId: string;

  /** Wall-clock time of the rejection in milliseconds. */
  readonly refusedAtMs: number;

  /** The kind of the error. */
  readonly error: string;

  /** The error message for the caller. */
  readonly message: string;
}

/** The messages that the callers service accepts. */
export type CallersMessage =
  | configurationService.ConfigurationChanged
  | fleetService.FleetChanged
  /** Returns the address of the callers' listener as host:port. */
  | {readonly kind: 'getAddress'; readonly reply: kernel.Reply<string>}
  /** Returns the VMs that a caller at `clientAddress` should connect to. */
  | {
      readonly kind: 'steer';
      readonly clientAddress: string;
      readonly organisationId: string;
      readonly reply: kernel.Reply<decisions.SteeringAnswer>;
    }
  /** Returns the most recent rejected requests of an organisation, oldest first. */
  | {
      readonly kind: 'explain';
      readonly organisationId: string;
      readonly reply: kernel.Reply<readonly Refusal[]>;
    }
  /** Asks where a request would go now and why; sends nothing and changes no state. */
  | {
      readonly kind: 'preview';
      readonly request: operators.PreviewedRequest;
      readonly reply: kernel.Reply<previews.RequestPreview>;
    }
  /** Waits until the steering answers sent so far have expired, then finishes all requests and closes the listener. */
  | {readonly kind: 'drain'; readonly reply: kernel.Reply<void>};

/** The service that handles the requests of callers (clients of the system). */
export const CALLERS = kernel.createServiceName<CallersMessage>('callers');
