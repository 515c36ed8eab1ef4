import type * as models from './UpstreamModel.js';

/** A region of a scenario. */
export interface ScenarioRegion {
  readonly region: string;
  readonly upstreamCount: number;

  /** Requests per second from the callers in the region. */
  readonly ratePerSecond: number;

  /** The number of the region's VMs; `Scenario.vmsPerRegion` if undefined. */
  readonly vmCount?: number;
}

/** A change of the upstreams or of the load at a moment of virtual time. */
export type ScenarioEvent =
  /** Evacuates the failure domain with half of a region's upstreams, or ends all evacuations. */
  | {
      readonly kind: 'evacuate' | 'restore';
      readonly atMs: number;
      readonly region: string;
    }
  /** All upstreams refuse this fraction of the requests from now on, whatever their load. */
  | {
      readonly kind: 'refuse';
      readonly atMs: number;
      readonly fraction: number;
    }
  /** All VMs restart and know nothing but the shares of their regions, if these are stored. */
  | {
      readonly kind: 'restart';
      readonly atMs: number;
      readonly areSharesStored: boolean;
    }
  /** Callers send this multiple of their usual rate from now on. */
  | {readonly kind: 'rate'; readonly atMs: number; readonly factor: number};

/** How the load of a deployment with hard load differs from constant work and constant demand. */
export interface HardLoad {
  /** The fraction by which service times vary around their mean, either way. */
  readonly workVariation: number;

  /** The fraction of requests that need `heavyWorkRatio` times the work. */
  readonly heavyFraction: number;
  readonly heavyWorkRatio: number;

  /** The fraction by which demand varies around its mean, with a different phase in each region. */
  readonly demandVariation: number;
  readonly demandPeriodMs: number;
}

/** A load pattern and the fleet that serves it. */
export interface Scenario {
  readonly name: string;
  readonly regions: readonly ScenarioRegion[];
  readonly traits: models.UpstreamTraits;
  readonly objectsPerRegion: number;
  readonly coldWorkMs: number;
  readonly objectiveMs: number;
  readonly timeLimitMs: number;
  readonly vmsPerRegion: number;
  readonly durationMs: number;

  /** Traits of the deployments with hard load; undefined for the others. */
  readonly hardLoad?: HardLoad;

  /** Requests that may run in one region only, whatever the region of their callers; none if undefined. */
  readonly bound?: {
    readonly region: string;

    /** The fraction of all requests, from 0 to 1. */
    readonly fraction: number;
  };
  readonly events: readonly ScenarioEvent[];
}

const BASE_SCENARIO: Omit<Scenario, 'name' | 'events'> = {
  regions: [
    {region: 'imereti', upstreamCount: 10, ratePerSecond: 80},
    {region: 'samegrelo', upstreamCount: 2, ratePerSecond: 80},
    {region: 'kakheti', upstreamCount: 8, ratePerSecond: 80},
  ],
  traits: {
    slotCount: 3,
    queueLimit: 9,
    warmObjectCount: 34,
    warmWorkRatio: 0.3,
  },
  objectsPerRegion: 58,
  coldWorkMs: 400,
  objectiveMs: 330,
  timeLimitMs: 1200,
  vmsPerRegion: 2,
  durationMs: 30_000,
};

/** The load patterns on which the placement policies are compared. */
export const SCENARIOS: readonly Scenario[] = [
  {...BASE_SCENARIO, name: 'cold start', events: []},
  {
    ...BASE_SCENARIO,
    name: 'failure domain evacuated just after the start',
    events: [
      {kind: 'evacuate', atMs: 1300, region: 'kakheti'},
      {kind: 'restore', atMs: 10_300, region: 'kakheti'},
    ],
  },
  {
    ...BASE_SCENARIO,
    name: 'all upstreams refuse half of the requests',
    events: [
      {kind: 'refuse', atMs: 13_000, fraction: 0.5},
      {kind: 'refuse', atMs: 21_000, fraction: 0},
    ],
  },
  {
    ...BASE_SCENARIO,
    name: 'burst',
    events: [
      {kind: 'rate', atMs: 14_000, factor: 1.6},
      {kind: 'rate', atMs: 19_000, factor: 1},
    ],
  },
];

/** The requests of a large organisation are bound to the region with the fewest upstreams. */
export const BOUND_SCENARIO: Scenario = {
  ...BASE_SCENARIO,
  name: 'an organisation that is bound to a small region',
  bound: {region: 'samegrelo', fraction: 0.15},
  events: [],
};

/** When all VMs restart: by then the shares have settled. */
export const RESTART_AT_MS = 40_000;

/** The numbers of VMs for which ways to spread load are compared; they are spread evenly over three regions. */
const FLEET_SIZES: readonly number[] = [7, 33, 105];

const HARD_LOAD: HardLoad = {
  workVariation: 0.15,
  heavyFraction: 0,
  heavyWorkRatio: 1,
  demandVariation: 0.55,
  demandPeriodMs: 20_000,
};

const BURST: readonly ScenarioEvent[] = [
  {kind: 'rate', atMs: 14_000, factor: 1.7},
  {kind: 'rate', atMs: 19_000, factor: 1},
];

/** Requests of the kind status-lookup of deployment P, where the third region has a fifth of the others' upstreams. */
const STATUS_LOOKUP: Omit<Scenario, 'name' | 'regions'> = {
  traits: {
    slotCount: 6,
    queueLimit: 18,
    warmObjectCount: 17,
    warmWorkRatio: 0.3,
  },
  objectsPerRegion: 301,
  coldWorkMs: 1280,
  objectiveMs: 800,
  timeLimitMs: 3000,
  vmsPerRegion: 11,
  durationMs: 30_000,
  hardLoad: HARD_LOAD,
  events: BURST,
};

/** Requests of the kind balance-query of deployment Z, whose upstreams share their machines. */
const BALANCE_QUERY: Omit<Scenario, 'name' | 'regions'> = {
  ...STATUS_LOOKUP,
  traits: {
    slotCount: 9,
    queueLimit: 27,
    warmObjectCount: 22,
    warmWorkRatio: 0.3,
    speed: {slowFraction: 0.15, slowdown: 2.5, changeMs: 600},
  },
  objectsPerRegion: 269,
  coldWorkMs: 1300,
  objectiveMs: 1000,
  timeLimitMs: 2500,
  hardLoad: {...HARD_LOAD, heavyFraction: 0.03, heavyWorkRatio: 7},
};

/** The load patterns on which ways to spread load evenly are compared. */
export const HARD_LOAD_SCENARIOS: readonly Scenario[] = FLEET_SIZES.flatMap(
  vmCount => [
    {
      ...STATUS_LOOKUP,
      name: `P, ${vmCount} VMs`,
      regions: createRegions([69, 69, 13], 843, vmCount),
    },
    {
      ...BALANCE_QUERY,
      name: `Z, ${vmCount} VMs`,
      regions: createRegions([48, 48, 10], 753, vmCount),
    },
  ],
);

/** All VMs restart under half more load than usual, while the third region's callers use the others' upstreams. */
export const RESTART_SCENARIOS: readonly Scenario[] = [false, true].map(
  areSharesStored => ({
    ...STATUS_LOOKUP,
    name: `P, 33 VMs, all restart, shares ${areSharesStored ? '' : 'not '}stored`,
    regions: createRegions([69, 69, 13], 843, 33),
    durationMs: 60_000,
    hardLoad: {...HARD_LOAD, demandVariation: 0},
    events: [
      {kind: 'rate', atMs: 0, factor: 1.5},
      {kind: 'restart', atMs: RESTART_AT_MS, areSharesStored},
    ],
  }),
);

function createRegions(
  upstreamCounts: readonly number[],
  totalRatePerSecond: number,
  totalVmCount: number,
): readonly ScenarioRegion[] {
  return upstreamCounts.map((upstreamCount, index) => ({
    region: `region-${index}`,
    upstreamCount,
    ratePerSecond: totalRatePerSecond / upstreamCounts.length,
    vmCount: Math.ceil((totalVmCount - index) / upstreamCounts.length),
  }));
}
