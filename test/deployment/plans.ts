import type * as plans from '../../standins/deployment/DeploymentPlan.js';

const REGIONS: readonly string[] = ['amman', 'irbid', 'aqaba'];

/** Options of a test deployment. */
export interface PlanOptions {
  readonly vmCount: number;
  readonly upstreamCount: number;

  /** Slots of each upstream; 7 by default. */
  readonly slotCount?: number;

  /** Time that an upstream takes for a request, in milliseconds; 5 by default. */
  readonly serviceMs?: number;

  /** One-way delay between VMs of different regions, in milliseconds; 0 by default. */
  readonly regionDelayMs?: number;

  /** The organisations by ID; by default `rustavi` alone, with a rate limit of 1000 requests a second. */
  readonly organisations?: plans.DeploymentPlan['organisations'];
}

/**
 * Returns a deployment plan with one service and three routes: keyed and idempotent, keyed and at-most-once, and open
 * without a key. VMs and upstreams are spread over three regions.
 */
export function getPlan(options: PlanOptions): plans.DeploymentPlan {
  const vms = Array.from({length: options.vmCount}, (_, index) => ({
    vmId: `vm-${index}`,
    region: REGIONS[index % REGIONS.length],
    failureDomain: `${REGIONS[index % REGIONS.length]}-a`,
  }));
  const upstreams = Array.from({length: options.upstreamCount}, (_, index) => ({
    upstreamId: `upstream-${index}`,
    serviceId: 'desk',
    region: REGIONS[index % REGIONS.length],
    failureDomain: `${REGIONS[index % REGIONS.length]}-a`,
    slotCount: options.slotCount ?? 7,
    serviceMs: options.serviceMs ?? 5,
  }));
  return {
    vms,
    upstreams,
    slotCount: options.vmCount,
    regionDelayMs: options.regionDelayMs ?? 0,
    organisations: options.organisations ?? {
      rustavi: {name: 'Rustavi', ratePerSecond: 1000, burstRequests: 1000},
    },
    routes: {
      lookUp: getRoute('/look-up', 'keyed', 'idempotent'),
      doors: getRoute('/doors', 'keyed', 'atMostOnce'),
      public: getRoute('/public', 'open', 'idempotent'),
    },
    clientBlocks: Object.fromEntries(
      REGIONS.map((region, index) => [
        region,
        {prefix: `10.${index}.0.0/16`, region},
      ]),
    ),
  };
}

function getRoute(
  pathPrefix: string,
  access: 'open' | 'keyed',
  execution: 'idempotent' | 'atMostOnce',
): plans.DeploymentPlan['routes'][string] {
  const budgetMs = 1500;
  return {pathPrefix, serviceId: 'desk', access, execution, budgetMs};
}
