import * as kernel from '../../kernel/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as requests from '../../model/requests/index.js';
import type * as configurationService from '../configuration/index.js';
import type * as fleetService from '../fleet/index.js';

/** A request that is to be sent to an upstream of a service. */
export interface DispatchRequest {
  readonly serviceId: string;
  readonly organisationId: string;
  readonly request: requests.CallerRequest;

  /** Whether the request may be sent again after it may have run. */
  readonly isIdempotent: boolean;

  /** Wall-clock time in milliseconds by which the caller must have an answer. */
  readonly deadlineMs: number;

  /** Aborted when the caller disconnects. */
  readonly abandoned: AbortSignal;
}

/** The outcome of a dispatched request. */
export type DispatchResult =
  | {readonly kind: 'answered'; readonly answer: requests.UpstreamAnswer}
  /** No upstream ran the request, and none will run it later. */
  | {
      readonly kind: 'notRun';
      readonly error: errors.ErrorKind;
      readonly message: string;
    }
  /** An upstream may have run the request. */
  | {
      readonly kind: 'mayHaveRun';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** The messages that the upstreams service receives. */
export type UpstreamsMessage =
  | configurationService.ConfigurationChanged
  | fleetService.FleetChanged
  | {
      readonly kind: 'dispatch';
      readonly dispatch: DispatchRequest;
      readonly reply: kernel.Reply<DispatchResult>;
    }
  | {readonly kind: 'tick'};

/** The upstreams service. */
export const UPSTREAMS =
  kernel.createServiceName<UpstreamsMessage>('upstreams');
