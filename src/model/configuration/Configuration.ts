import type * as blocks from './ClientBlock.js';
import type * as keys from './Key.js';
import type * as organisations from './Organisation.js';
import type * as routes from './Route.js';
import type * as shifts from './Shift.js';
import type * as upstreams from './Upstream.js';

/** Entries of one kind by their identifier. */
export type EntriesById<T> = Readonly<Record<string, T>>;

/** Everything that operators decide, without its version. */
export interface ConfigurationDocument {
  readonly organisations: EntriesById<organisations.Organisation>;
  readonly keys: EntriesById<keys.Key>;
  readonly routes: EntriesById<routes.Route>;
  readonly upstreams: EntriesById<upstreams.Upstream>;
  readonly shifts: EntriesById<shifts.Shift>;
  readonly clientBlocks: EntriesById<blocks.ClientBlock>;
}

/** A numbered version of the configuration. */
export interface Configuration {
  /** Grows by one with each accepted patch; 0 before the first. */
  readonly version: number;

  /** What operators decided. */
  readonly document: ConfigurationDocument;
}

/** The configuration before the first patch. */
export const EMPTY_CONFIGURATION: Configuration = {
  version: 0,
  document: {
    organisations: {},
    keys: {},
    routes: {},
    upstreams: {},
    shifts: {},
    clientBlocks: {},
  },
};
