import type * as configurations from '../configuration/index.js';

/** One service of a split and its weight beside the others. */
export interface SplitPart {
  readonly serviceId: string;
  readonly weight: number;
}

/** Where the requests of a route go. */
export type Destination =
  | {readonly kind: 'service'; readonly serviceId: string}
  | {readonly kind: 'split'; readonly parts: readonly SplitPart[]};

/** A host with a path prefix, and what may be done with the requests under it. */
export interface EntryRoute {
  readonly routeId: string;
  readonly host: string;

  /** The prefix of the request path; the longest match of a host wins. */
  readonly pathPrefix: string;

  readonly execution: configurations.RouteExecution;
  readonly access: configurations.RouteAccess;
  readonly destination: Destination;

  /** The longest time in milliseconds that a caller is kept waiting. */
  readonly timeLimitMs: number;

  /** The time in milliseconds within which an answer has its full value. */
  readonly objectiveMs: number;

  /** The rank under overload; 0 is the highest. */
  readonly priority: number;

  /** The most upstreams to which one request may be sent. */
  readonly maxUpstreams: number;

  /** Whether upstreams work faster on objects that they handled before. */
  readonly hasObjects: boolean;

  /** The regions in which requests may run; empty for all. */
  readonly homeRegions: readonly string[];
}
