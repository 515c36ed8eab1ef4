import type * as finishes from './choosePlacementByFinish.js';

/** One upstream among which a placement chooses for a request. */
export interface PlacementCandidate {
  readonly upstreamId: string;
  readonly slotCount: number;

  /** Estimated number of requests that the upstream is running or queueing, from all VMs. */
  readonly busyCount: number;

  /** The estimated speed of the upstream: 1 (the default) as usual, 0.4 when work takes 2.5 times as long. */
  readonly speed?: number;

  /**
   * Whether the requested object is warm at the upstream: the upstream has probably handled it recently and needs
   * less work for it.
   */
  readonly isWarm: boolean;

  /** Whether the upstream is used only while no other upstream is available. */
  readonly isFallback: boolean;

  /** Whether the upstream may receive a request now: reachable, not shutting down, and below its rate if it is cold. */
  readonly isAvailable: boolean;
}

/** The upstream that a request is sent to, if any. */
export type Placement =
  | {
      readonly kind: 'chosen';
      readonly upstreamId: string;

      /** What the placement by expected finish time expects of the upstream. */
      readonly expected?: finishes.ExpectedRun;
    }
  /** No upstream is available. */
  | {readonly kind: 'none'}
  /** The available upstreams have reached their maximum load. */
  | {readonly kind: 'full'}
  /** The queue of each available upstream is longer than the request may join. */
  | {
      readonly kind: 'crowded';

      /** The expected time in milliseconds until the first of the queues is short enough. */
      readonly joinableInMs: number;
    };

/** Requests per slot of the first upstream from which another upstream that has the object warm is considered. */
const WARM_ALTERNATIVE_LOAD_RATIO = 1;

/** Requests per slot by which a warm alternative must be less loaded than the best candidate so far. */
const WARM_ALTERNATIVE_MARGIN_RATIO = 0.34;

/**
 * Requests per slot from which an upstream has a queue; if the first upstream and the best candidate so far have one,
 * an upstream that does not have the object warm is considered.
 */
const QUEUE_LOAD_RATIO = 2;

/**
 * Requests per slot below which an upstream has room for a request whose object is not warm, which occupies a slot
 * three times as long.
 */
const IDLE_LOAD_RATIO = 0.4;

/**
 * Requests per slot from which an upstream receives no more requests. In a longer queue, requests for objects that
 * are not warm reach their time limit before they complete: their work is lost, no object becomes warm, and the queue
 * does not shrink.
 */
const MAX_LOAD_RATIO = 2.3;

/**
 * Chooses among the upstreams ranked for an object, best first. The first one normally has the object warm. While
 * it is busy, the request goes to another upstream that has the object warm as well; while the first has a queue, an
 * upstream with idle slots may receive the request although it does not have the object warm.
 */
export function choosePlacement(
  ranked: readonly PlacementCandidate[],
): Placement {
  const usable = ranked.filter(candidate => candidate.isAvailable);
  if (usable.length === 0) return {kind: 'none'};
  const preferred = usable.filter(candidate => !candidate.isFallback);
  const open = preferred.length > 0 ? preferred : usable;
  const [first] = open;
  let best = first;
  for (const candidate of open.slice(1))
    if (isBetter(candidate, best, getLoadRatio(first))) best = candidate;
  if (getLoadRatio(best) >= MAX_LOAD_RATIO) return {kind: 'full'};
  return {kind: 'chosen', upstreamId: best.upstreamId};
}

function isBetter(
  candidate: PlacementCandidate,
  best: PlacementCandidate,
  firstLoad: number,
): boolean {
  const load = getLoadRatio(candidate);
  if (load >= getLoadRatio(best)) return false;
  if (candidate.isWarm)
    return (
      firstLoad >= WARM_ALTERNATIVE_LOAD_RATIO &&
      load <= getLoadRatio(best) - WARM_ALTERNATIVE_MARGIN_RATIO
    );
  // A warm alternative that was already found is replaced by a cold one only if it has a queue itself.
  const isBestBusy = getLoadRatio(best) >= QUEUE_LOAD_RATIO;
  return firstLoad >= QUEUE_LOAD_RATIO && isBestBusy && load < IDLE_LOAD_RATIO;
}

function getLoadRatio(candidate: PlacementCandidate): number {
  const {busyCount, slotCount, speed = 1} = candidate;
  return busyCount / (Math.max(1, slotCount) * speed);
}
