/** An IP address and a TCP port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** The bounds within which what was learned must be acted on. */
export interface EntryBounds {
  /** How soon a leaving upstream gets nothing more, in milliseconds. */
  readonly drainMs: number;

  /** How soon a confirmed version of the configuration is in force, in milliseconds. */
  readonly configurationMs: number;

  /** How often an upstream renews its entry, in milliseconds. */
  readonly heartbeatMs: number;

  /** How long a stopping process may finish its requests, in milliseconds. */
  readonly gracePeriodMs: number;

  /** Sends beyond the first that a service may get for each request. */
  readonly retryRatio: number;

  /** Sends beyond the first that a service may get on top, in each window. */
  readonly retrySlack: number;

  /** The window of the retry bound, in milliseconds. */
  readonly retryWindowMs: number;

  /** The window over which organisations' limits are judged, in milliseconds. */
  readonly limitWindowMs: number;

  /** The part by which a window may hold more than rate times window plus burst. */
  readonly limitOverage: number;

  /** Requests that a window may hold on top of that. */
  readonly limitSlack: number;

  /** The longest time for which callers keep a steering answer, in milliseconds. */
  readonly steeringTermMs: number;
}

/** What an entry VM's process learns at its start. */
export interface EntrySettings {
  readonly vmId: string;
  readonly region: string;
  readonly failureDomain: string;

  /** The region of each failure domain. */
  readonly regions: ReadonlyMap<string, string>;

  readonly callers: SocketAddress;
  readonly readiness: SocketAddress;
  readonly steering: SocketAddress;
  readonly peers: SocketAddress;
  readonly metrics: SocketAddress;
  readonly bounds: EntryBounds;

  /** The least level of log lines that are written. */
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}
