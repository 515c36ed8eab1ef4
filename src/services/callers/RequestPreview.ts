import type * as configurations from '../../model/configuration/index.js';
import type * as errors from '../../model/errors/index.js';
import type * as upstreamsService from '../upstreams/UpstreamsMessage.js';

/** A refusal as the caller of a previewed request would get it. */
export interface PreviewedRefusal {
  readonly kind: 'refused';
  readonly error: errors.ErrorKind;
  readonly message: string;
  readonly httpStatus: number;

  /** Wall-clock time in milliseconds from which a retry may succeed; undefined if unknown. */
  readonly retryAtMs: number | undefined;
}

/** Who a previewed request is from, and the route that it matches. */
export type PreviewedAccess =
  | PreviewedRefusal
  | {
      readonly kind: 'open' | 'keyed';
      readonly routeId: string;
      readonly route: configurations.Route;

      /** The organisation of the API key; empty on open routes. */
      readonly organisationId: string;
    };

/** Whether the organisation's rate limit would admit the request now. */
export type PreviewedLimit =
  | PreviewedRefusal
  /** The limit applies to keyed routes only, and to requests with access. */
  | {readonly kind: 'notApplied'}
  | {readonly kind: 'granted'};

/** A result that a previewed request could have now. */
export type PreviewedOutcome =
  | PreviewedRefusal
  | {
      readonly kind: 'sent';
      readonly upstreamId: string;

      /** Whether the request is quarantined and would be sent once more as a trial. */
      readonly isTrial: boolean;
    };

/** Where a request would go now, and why. */
export interface RequestPreview {
  readonly vmId: string;

  /** The region of the VM that would handle the request. */
  readonly region: string;

  /** The version of the configuration that the VM has in force. */
  readonly configurationVersion: number;

  readonly access: PreviewedAccess;
  readonly limit: PreviewedLimit;

  /** All upstreams of the route's service, best first; empty without access. */
  readonly upstreams: readonly upstreamsService.UpstreamFigures[];

  /** The results of the first attempt that are possible; with several, a random draw decides among them. */
  readonly outcomes: readonly PreviewedOutcome[];
}
