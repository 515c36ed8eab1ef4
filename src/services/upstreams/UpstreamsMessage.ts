import * as kernel from '../../kernel/index.js';
import type * as decisions from '../../decisions/index.js';
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

/** Why an upstream gets no new requests, if so; times are wall-clock times in milliseconds. */
export type UpstreamCondition =
  | {readonly kind: 'open'}
  /** The configuration says that the upstream is draining. */
  | {readonly kind: 'draining'}
  /** The upstream's load report says that it accepts no new requests. */
  | {readonly kind: 'leaving'}
  /** The upstream rejected a request because of its load. */
  | {readonly kind: 'shed'; readonly untilMs: number}
  /** A request to the upstream failed. */
  | {readonly kind: 'failed'; readonly untilMs: number};

/** The figures of one upstream by which a choice is made. */
export interface UpstreamFigures {
  readonly upstreamId: string;
  readonly region: string;
  readonly distance: decisions.Distance;
  readonly condition: UpstreamCondition;
  readonly slotCount: number;

  /** Slots that may be occupied now; fewer than all while the upstream warms up. */
  readonly usableSlotCount: number;

  /** Estimated requests at the upstream from all processes. */
  readonly busyCount: number;

  /** Estimated usable slots that are free. */
  readonly freeSlotCount: number;

  /** Estimated requests that wait for a usable slot. */
  readonly queuedCount: number;

  /** Whether the warm-up has ended, so that all slots are usable. */
  readonly isWarm: boolean;
}

/** One result that a new request would have now. */
export type ChoicePreview =
  | {readonly kind: 'chosen'; readonly upstreamId: string}
  | Extract<DispatchResult, {kind: 'notRun'}>;

/** Where a new request for a service would go now. */
export interface UpstreamsPreview {
  /** All upstreams of the service: the open ones first, then by distance and utilisation. */
  readonly ranked: readonly UpstreamFigures[];

  /** The results that are possible; with several, the request path draws among them. */
  readonly choices: readonly ChoicePreview[];
}

/** The messages that the upstreams service receives. */
export type UpstreamsMessage =
  | configurationService.ConfigurationChanged
  | fleetService.FleetChanged
  | {
      readonly kind: 'dispatch';
      readonly dispatch: DispatchRequest;
      readonly reply: kernel.Reply<DispatchResult>;
    }
  /** Asks which upstreams a new request for a service could get now; chooses none. */
  | {
      readonly kind: 'preview';
      readonly serviceId: string;
      readonly reply: kernel.Reply<UpstreamsPreview>;
    }
  | {readonly kind: 'tick'};

/** The upstreams service. */
export const UPSTREAMS =
  kernel.createServiceName<UpstreamsMessage>('upstreams');
