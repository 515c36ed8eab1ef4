import type * as configurations from './EntryConfiguration.js';
import type * as positions from './StorePosition.js';
import type * as upstreams from './UpstreamRecord.js';

/** The operators' rows as of one position of the platform's store. */
export interface OperatorRows {
  readonly position: positions.StorePosition;
  readonly configuration: configurations.EntryConfiguration;

  /** The failure domains whose upstreams must not receive requests. */
  readonly evacuatedDomains: readonly string[];
}

/** The rows that upstreams registered, as of one position of the platform's store. */
export interface UpstreamRows {
  readonly position: positions.StorePosition;
  readonly upstreams: readonly upstreams.UpstreamRecord[];

  /** The identifiers of those upstreams whose rows have been missing since an outage of the table. */
  readonly expiredIds: readonly string[];
}
