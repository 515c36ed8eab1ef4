import type * as configurations from '../configuration/index.js';

/** One service of a traffic split and its relative weight. */
export interface WeightedService {
  readonly serviceId: string;
  readonly weight: number;
}

/** The destination of a route's requests: one service, or several by weight. */
export type Destination =
  | {readonly kind: 'service'; readonly serviceId: string}
  | {readonly kind: 'split'; readonly parts: readonly WeightedService[]};

/** A host and path prefix, with the rules for handling the requests that match them. */
export interface EntryRoute {
  readonly routeId: string;
  readonly host: string;

  /** The prefix of the request path; the longest matching prefix of a host wins. */
  readonly pathPrefix: string;

  readonly execution: configurations.RouteExecution;
  readonly access: configurations.RouteAccess;
  readonly destination: Destination;

  /** Maximum time in milliseconds from the arrival of a request to its response. */
  readonly timeLimitMs: number;

  /** The target latency in milliseconds, within which a response has its full value to the caller. */
  readonly objectiveMs: number;

  /** The priority under overload; 0 is the highest. */
  readonly priority: number;

  /** The maximum number of upstreams to which one request may be sent. */
  readonly maxUpstreams: number;

  /** Whether requests concern objects, which an upstream handles faster once it has handled them before. */
  readonly hasObjects: boolean;

  /** The regions in which the route's requests may run; empty means every region. */
  readonly homeRegions: readonly string[];
}
