import type * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as clients from './UpstreamClient.js';

/** One process's state for one upstream. */
export interface UpstreamEntry {
  readonly upstream: configurations.Upstream;
  readonly client: clients.UpstreamClient;
  readonly view: decisions.UpstreamView;

  /** Whether the upstream's load report says that it accepts no new requests. */
  readonly isLeaving: boolean;

  /** The number of consecutive failures. */
  readonly failureCount: number;
}
