import type * as models from './UpstreamModel.js';

/** A region of a scenario. */
export interface ScenarioRegion {
  readonly region: string;
  readonly upstreamCount: number;

  /** Requests per second from the callers in the region. */
  readonly ratePerSecond: number;
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
  /** Callers send this multiple of their usual rate from now on. */
  | {readonly kind: 'rate'; readonly atMs: number; readonly factor: number};

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
