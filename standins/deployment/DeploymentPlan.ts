import type * as configurations from '../../src/model/configuration/index.js';

/** One entry VM of a deployment. */
export interface VmPlan {
  readonly vmId: string;
  readonly region: string;
  readonly failureDomain: string;
}

/** One upstream process of a deployment. */
export interface UpstreamPlan {
  readonly upstreamId: string;
  readonly serviceId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly slotCount: number;
  readonly serviceMs: number;

  /** Whether the process prints a line for each request that it runs; true by default. */
  readonly isPrintingRuns?: boolean;
}

/** The processes that a deployment starts and the configuration that it applies. */
export interface DeploymentPlan {
  readonly vms: readonly VmPlan[];
  readonly upstreams: readonly UpstreamPlan[];
  readonly slotCount: number;

  /** The log level of the daemons; debug by default. */
  readonly logLevel?: 'debug' | 'info';

  /** The limit of each daemon's heap in MiB; the runtime's own limit when omitted. */
  readonly heapMb?: number;

  /** The memory of each VM in MB; the daemon's default when omitted. */
  readonly memoryMb?: number;

  /** One-way delay in milliseconds between VMs of different regions. */
  readonly regionDelayMs: number;

  readonly organisations: configurations.EntriesById<configurations.Organisation>;
  readonly routes: configurations.EntriesById<configurations.Route>;
  readonly clientBlocks: configurations.EntriesById<configurations.ClientBlock>;
}

/** Gets the API key that a deployment grants to an organisation. */
export function getApiKey(organisationId: string): string {
  return `key-of-${organisationId}-0123456789abcdef`;
}
