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

  /** Whether it prints what it runs; true unless given. */
  readonly isRecording?: boolean;
}

/** Everything that a deployment starts. */
export interface DeploymentPlan {
  readonly vms: readonly VmPlan[];
  readonly upstreams: readonly UpstreamPlan[];
  readonly slotCount: number;

  /** The least level that daemons log; debug unless given. */
  readonly logLevel?: 'debug' | 'info';

  /** One-way delay in milliseconds between VMs of different regions. */
  readonly regionDelayMs: number;

  readonly organisations: configurations.EntriesById<configurations.Organisation>;
  readonly routes: configurations.EntriesById<configurations.Route>;
  readonly clientBlocks: configurations.EntriesById<configurations.ClientBlock>;
}

/** Gets the key that a deployment grants to an organisation. */
export function getKey(organisationId: string): string {
  return `key-of-${organisationId}-0123456789abcdef`;
}
