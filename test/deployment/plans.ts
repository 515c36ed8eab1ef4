import type * as plans from '../../standins/deployment/DeploymentPlan.js';

const REGIONS: readonly string[] = ['amman', 'irbid', 'aqaba'];

/** What a test wants of its deployment. */
export interface PlanOptions {
  readonly vmCount: number;
  readonly upstreamCount: number;
  readonly slotCount?: number;
  readonly serviceMs?: number;
  readonly regionDelayMs?: number;
  readonly organisations?: plans.DeploymentPlan['organisations'];
}

/** Gets a plan with one service, a route of each kind and VMs over three regions. */
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
