import type * as capacities from './VmCapacity.js';

/** An IP address and a TCP port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

/** Time limits, budgets and tolerances that an entry VM must respect. */
export interface EntryBounds {
  /** Maximum time in milliseconds until a draining upstream receives no more requests. */
  readonly maxDrainDelayMs: number;

  /** Maximum time in milliseconds until a confirmed version of the configuration is in force. */
  readonly maxConfigurationDelayMs: number;

  /** Interval in milliseconds at which an upstream renews its row in the platform's table. */
  readonly heartbeatIntervalMs: number;

  /** Time in milliseconds that a stopping process has to finish its pending requests. */
  readonly gracePeriodMs: number;

  /** The retry budget of a service, in retries per request. */
  readonly retryRatio: number;

  /** Retries allowed to a service in each `retryWindowMs`, in addition to the ratio. */
  readonly retrySlack: number;

  /** The window of the retry budget, in milliseconds. */
  readonly retryWindowMs: number;

  /** The window over which compliance with organisations' limits is measured, in milliseconds. */
  readonly limitWindowMs: number;

  /** The fraction by which the requests of a window may exceed rate times window plus burst. */
  readonly limitOverage: number;

  /** Requests that a window may contain in addition to rate, burst and overage. */
  readonly limitSlack: number;

  /** The maximum time that callers cache a steering response, in milliseconds. */
  readonly maxSteeringTtlMs: number;
}

/** How requests share upstreams and processor time that are short. */
export type AdmissionPolicy =
  /** All requests alike. */
  | {readonly kind: 'equal'}
  /** By the priorities, objectives and time limits of the routes. */
  | {readonly kind: 'byPriority'};

/** How the requests for an object are spread over the upstreams that are ranked for it. */
export type LoadSpread =
  /** The first ranked upstream gets them unless it is busy. */
  | {readonly kind: 'first'}
  /** Two upstreams are designated for the object; the one with the shorter expected wait gets a request. */
  | {readonly kind: 'designated'};

/** The settings that an entry VM's process reads at its start. */
export interface EntrySettings {
  readonly vmId: string;
  readonly region: string;
  readonly failureDomain: string;

  /** Maps each failure domain to its region. */
  readonly regions: ReadonlyMap<string, string>;

  /** The address on which the process accepts callers' requests. */
  readonly callers: SocketAddress;

  /** The address on which the process serves readiness checks. */
  readonly readiness: SocketAddress;

  /** The address on which the process serves steering requests, which ask for the VMs that a caller should use. */
  readonly steering: SocketAddress;

  /** The address on which the process receives datagrams and calls from its peers. */
  readonly peers: SocketAddress;

  /** The address on which the process serves its metrics. */
  readonly metrics: SocketAddress;

  readonly bounds: EntryBounds;
  readonly admission: AdmissionPolicy;
  readonly loadSpread: LoadSpread;

  /** The resources of this VM; absent where the platform does not state them. */
  readonly capacity?: capacities.VmCapacity;

  /** The memory of the VM in bytes. */
  readonly memoryBytes: number;

  /** The minimum level of the log lines that are written. */
  readonly logLevel: 'debug' | 'info' | 'warn' | 'error';
}
