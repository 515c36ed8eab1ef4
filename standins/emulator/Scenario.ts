import type * as models from './UpstreamModel.js';

/** A region of a scenario. */
export interface ScenarioRegion {
  readonly region: string;
  readonly upstreamCount: number;

  /** Requests a second of its callers. */
  readonly ratePerSecond: number;
}

/** What happens to a scenario's upstreams. */
export type ScenarioEvent =
  /** Half of a region's upstreams get nothing from here on, or get requests again. */
  | {
      readonly kind: 'empty' | 'restore';
      readonly atMs: number;
      readonly region: string;
    }
  /** All upstreams refuse a part of the requests from here on. */
  | {
      readonly kind: 'refuse';
      readonly atMs: number;
      readonly part: number;
    }
  /** Callers send so many times their usual rate from here on. */
  | {readonly kind: 'rate'; readonly atMs: number; readonly factor: number};

/** A load pattern and the upstreams that it meets. */
export interface Scenario {
  readonly name: string;
  readonly regions: readonly ScenarioRegion[];
  readonly traits: models.UpstreamTraits;
  readonly objectsPerRegion: number;
  readonly coldWorkMs: number;
  readonly objectiveMs: number;
  readonly timeLimitMs: number;
  readonly vmsPerRegion: number;
  readonly lengthMs: number;

  /** Requests that may run in one region only, wherever their callers are; none as a rule. */
  readonly bound?: {
    readonly region: string;

    /** The part of all requests. */
    readonly part: number;
  };
  readonly events: readonly ScenarioEvent[];
}

const CATALOGUE: Omit<Scenario, 'name' | 'events'> = {
  regions: [
    {region: 'imereti', upstreamCount: 10, ratePerSecond: 80},
    {region: 'samegrelo', upstreamCount: 2, ratePerSecond: 80},
    {region: 'kakheti', upstreamCount: 8, ratePerSecond: 80},
  ],
  traits: {
    slotCount: 3,
    queueLimit: 9,
    warmObjectCount: 34,
    warmPart: 0.3,
  },
  objectsPerRegion: 58,
  coldWorkMs: 400,
  objectiveMs: 330,
  timeLimitMs: 1200,
  vmsPerRegion: 2,
  lengthMs: 30_000,
};

/** The load patterns that placement was chosen for. */
export const SCENARIOS: readonly Scenario[] = [
  {...CATALOGUE, name: 'cold start', events: []},
  {
    ...CATALOGUE,
    name: 'domain emptied just after the start',
    events: [
      {kind: 'empty', atMs: 1300, region: 'kakheti'},
      {kind: 'restore', atMs: 10_300, region: 'kakheti'},
    ],
  },
  {
    ...CATALOGUE,
    name: 'all refuse half',
    events: [
      {kind: 'refuse', atMs: 13_000, part: 0.5},
      {kind: 'refuse', atMs: 21_000, part: 0},
    ],
  },
  {
    ...CATALOGUE,
    name: 'burst',
    events: [
      {kind: 'rate', atMs: 14_000, factor: 1.6},
      {kind: 'rate', atMs: 19_000, factor: 1},
    ],
  },
];

/** Requests of a large organisation may run only in the region with the fewest upstreams. */
export const BOUND_SCENARIO: Scenario = {
  ...CATALOGUE,
  name: 'an organisation that is bound to a small region',
  bound: {region: 'samegrelo', part: 0.15},
  events: [],
};
