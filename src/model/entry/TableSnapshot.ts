import type * as configurations from './EntryConfiguration.js';
import type * as upstreams from './UpstreamRecord.js';

/** The operators' rows as of one version of the platform's table. */
export interface OperatorRows {
  readonly tableVersion: number;
  readonly configuration: configurations.EntryConfiguration;

  /** The failure domains whose upstreams must not receive requests. */
  readonly evacuatedDomains: readonly string[];
}

/** The rows that upstreams registered, as of one version of the platform's table. */
export interface UpstreamRows {
  readonly tableVersion: number;
  readonly upstreams: readonly upstreams.UpstreamRecord[];

  /** The identifiers of those upstreams whose rows have been missing since an outage of the table. */
  readonly expiredIds: readonly string[];
}
