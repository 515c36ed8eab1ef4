import type * as routes from './EntryRoute.js';

/** A service behind routes. */
export interface EntryService {
  readonly serviceId: string;

  /** Connections that one of its upstreams accepts, from all VMs together. */
  readonly maxConnections: number;

  /** How long in milliseconds an upstream stays cold after its start. */
  readonly coldMs: number;

  /** Requests a second that a cold upstream bears, from all VMs together. */
  readonly coldRatePerSecond: number;
}

/** A tenant with its keys and limits. */
export interface EntryOrganisation {
  readonly organisationId: string;
  readonly keys: readonly string[];

  /** The rank under overload; nothing leaves it to the route. */
  readonly priority: number | undefined;

  /** Requests a second over all VMs together; 0 means no limit. */
  readonly ratePerSecond: number;

  /** Requests that may come at once after a quiet time, over all VMs together. */
  readonly burstRequests: number;

  /** The regions in which requests may run; empty for all. */
  readonly homeRegions: readonly string[];
}

/** What callers may send, and how long they may take. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A numbered version of everything that operators of the platform decide. */
export interface EntryConfiguration {
  readonly version: number;
  readonly routes: readonly routes.EntryRoute[];
  readonly services: readonly EntryService[];
  readonly organisations: readonly EntryOrganisation[];
  readonly callerLimits: CallerLimits;

  /** Whether requests need a key of an organisation. */
  readonly hasOrganisations: boolean;
}
