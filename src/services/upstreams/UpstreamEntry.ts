import type * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as clients from './UpstreamClient.js';

/** One upstream as this process knows it. */
export interface UpstreamEntry {
  readonly upstream: configurations.Upstream;
  readonly client: clients.UpstreamClient;
  readonly view: decisions.UpstreamView;

  /** Whether the upstream itself says that it takes no new work. */
  readonly isLeaving: boolean;

  /** Failures in a row. */
  readonly failureCount: number;
}
