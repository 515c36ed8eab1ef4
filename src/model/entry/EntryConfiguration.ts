import type * as routes from './EntryRoute.js';

/** A service to which routes forward requests. */
export interface EntryService {
  readonly serviceId: string;

  /** Maximum connections to one upstream of the service, summed over all VMs. */
  readonly maxConnections: number;

  /** How long in milliseconds an upstream counts as cold after its start; a cold upstream has a lower rate limit. */
  readonly coldMs: number;

  /** Maximum requests per second to one cold upstream, summed over all VMs. */
  readonly coldRatePerSecond: number;
}

/** A customer with its API keys and limits. */
export interface EntryOrganisation {
  readonly organisationId: string;
  readonly keys: readonly string[];

  /** The priority under overload, 0 being the highest; undefined uses the route's priority. */
  readonly priority: number | undefined;

  /** The rate limit in requests per second, summed over all VMs; 0 means no limit. */
  readonly ratePerSecond: number;

  /** The burst size in requests after an idle period, summed over all VMs. */
  readonly burstRequests: number;

  /** The regions in which the organisation's requests may run; empty means every region. */
  readonly homeRegions: readonly string[];
}

/** Size and time limits on callers' requests and connections. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A numbered version of the configuration that operators of the platform maintain. */
export interface EntryConfiguration {
  readonly version: number;
  readonly routes: readonly routes.EntryRoute[];
  readonly services: readonly EntryService[];
  readonly organisations: readonly EntryOrganisation[];
  readonly callerLimits: CallerLimits;

  /** Whether requests must carry the API key of an organisation. */
  readonly hasOrganisations: boolean;
}
