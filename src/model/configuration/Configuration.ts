import type * as blocks from './ClientBlock.js';
import type * as keys from './Key.js';
import type * as organisations from './Organisation.js';
import type * as routes from './Route.js';
import type * as shifts from './Shift.js';
import type * as upstreams from './Upstream.js';

/** Configuration entries of one kind, keyed by identifier. */
export type EntriesById<T> = Readonly<Record<string, T>>;

/** The configuration content that operators edit, without its version number. */
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
  /** Increases by one with each accepted patch; 0 before the first patch. */
  readonly version: number;

  /** The content of this version. */
  readonly document: ConfigurationDocument;
}

/** The empty configuration in force before the first patch. */
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
