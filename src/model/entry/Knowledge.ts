import type * as configurations from './EntryConfiguration.js';
import type * as upstreams from './UpstreamRecord.js';

/** What operators wrote, as of one version of the table. */
export interface OperatorRows {
  readonly tableVersion: number;
  readonly configuration: configurations.EntryConfiguration;

  /** Failure domains whose upstreams are to get nothing. */
  readonly evacuatedDomains: readonly string[];
}

/** The upstreams' own entries, as of one version of the table. */
export interface UpstreamRows {
  readonly tableVersion: number;
  readonly upstreams: readonly upstreams.UpstreamRecord[];
}
