import * as avoidances from './Avoidance.js';
import * as loads from './getUtilisation.js';
import type * as views from './UpstreamView.js';

/** The fraction of a region's slots that may be occupied when it receives requests from other regions. */
const SPILL_UTILISATION_RATIO = 0.8;

/** Requests per usable slot from which an upstream receives no more requests. */
const MAX_QUEUE_UTILISATION_RATIO = 2;

/** The input of `chooseUpstream` besides the upstreams. */
export interface ChoiceInput {
  /** The upstreams to which this request has already been sent. */
  readonly triedUpstreamIds: readonly string[];

  /** The number of processes that may choose among these upstreams at the same time. */
  readonly processCount: number;

  /** Two random numbers, each at least 0 and below 1. */
  readonly randomA: number;
  readonly randomB: number;
}

/** The upstream that a request is sent to, if any. */
export type UpstreamChoice =
  | {readonly kind: 'chosen'; readonly upstreamId: string}
  /** No upstream can receive the request: each is avoided or was already tried. */
  | {readonly kind: 'none'}
  /** The upstreams that could receive the request have no free slot and may not queue it. */
  | {readonly kind: 'full'};

/** The distances of upstreams, nearest first. */
export const DISTANCES: readonly views.Distance[] = [
  'sameDomain',
  'sameRegion',
  'otherRegion',
];

/**
 * Chooses an upstream: the nearest ones that have a free slot, and of two random ones among them the less loaded. If
 * all upstreams are avoided, an upstream that was reachable after its failure receives a single request as a trial.
 */
export function chooseUpstream(
  upstreams: readonly views.UpstreamView[],
  input: ChoiceInput,
  nowMs: number,
): UpstreamChoice {
  const usable = getUsable(upstreams, input, nowMs);
  if (usable.length === 0) return {kind: 'none'};
  for (const distance of DISTANCES) {
    const candidates = getCandidates(usable, distance, input, nowMs);
    const best = getLessLoaded(candidates, input, nowMs);
    if (best && loads.getUtilisation(best, nowMs) < 1)
      return createChoice(best);
  }
  return chooseQueue(usable, nowMs);
}

/** Gets the upstreams that may receive the request: those that are not avoided or, if there are none, trials. */
export function getUsable(
  upstreams: readonly views.UpstreamView[],
  {triedUpstreamIds}: Pick<ChoiceInput, 'triedUpstreamIds'>,
  nowMs: number,
): readonly views.UpstreamView[] {
  const untried = upstreams.filter(
    view => !triedUpstreamIds.includes(view.upstreamId),
  );
  const open = untried.filter(
    view => !avoidances.isAvoided(view.avoidance, nowMs),
  );
  return open.length > 0 ? open : untried.filter(isEligibleForTrial);
}

/** Gets the usable upstreams at one distance of which two are drawn. */
export function getCandidates(
  usable: readonly views.UpstreamView[],
  distance: views.Distance,
  {processCount}: Pick<ChoiceInput, 'processCount'>,
  nowMs: number,
): readonly views.UpstreamView[] {
  const atDistance = usable.filter(view => view.distance === distance);
  return distance === 'otherRegion'
    ? getSpillCandidates(atDistance, processCount, nowMs)
    : atDistance;
}

/**
 * Whether an avoided upstream may receive one request as a trial: it sent a load report that was requested after its
 * failure, and this process has no request to it in flight.
 */
function isEligibleForTrial(view: views.UpstreamView): boolean {
  const {avoidance, ownInFlightCount, report} = view;
  switch (avoidance.kind) {
    case 'none':
    case 'shed':
      return false;
    case 'failed':
      return (
        ownInFlightCount === 0 &&
        report !== undefined &&
        report.requestedAtMs > avoidance.failedAtMs
      );
  }
}

/** Chooses the least utilised upstream of this process's region for a request that has to queue. */
function chooseQueue(
  usable: readonly views.UpstreamView[],
  nowMs: number,
): UpstreamChoice {
  const inOwnRegion = usable.filter(view => view.distance !== 'otherRegion');
  const shortest = inOwnRegion.reduce<views.UpstreamView | undefined>(
    (best, view) =>
      best === undefined ||
      loads.getUtilisation(view, nowMs) < loads.getUtilisation(best, nowMs)
        ? view
        : best,
    undefined,
  );
  if (shortest === undefined) return {kind: 'full'};
  const isFull =
    loads.getUtilisation(shortest, nowMs) >= MAX_QUEUE_UTILISATION_RATIO;
  return isFull ? {kind: 'full'} : createChoice(shortest);
}

/** Gets the upstreams of those other regions in which this process has not used up its share of the free slots. */
function getSpillCandidates(
  otherRegionViews: readonly views.UpstreamView[],
  processCount: number,
  nowMs: number,
): readonly views.UpstreamView[] {
  const regions = [...new Set(otherRegionViews.map(view => view.region))];
  return regions.flatMap(region => {
    const inRegion = otherRegionViews.filter(view => view.region === region);
    return hasHeadroom(inRegion, processCount, nowMs) ? inRegion : [];
  });
}

function hasHeadroom(
  inRegion: readonly views.UpstreamView[],
  processCount: number,
  nowMs: number,
): boolean {
  let slotCount = 0;
  let busyCount = 0;
  let ownCount = 0;
  for (const view of inRegion) {
    slotCount += loads.getUsableSlotCount(view, nowMs);
    busyCount += loads.getBusyCount(view, nowMs);
    ownCount += view.ownInFlightCount;
  }
  const freeCount =
    SPILL_UTILISATION_RATIO * slotCount - (busyCount - ownCount);
  return ownCount + 1 <= Math.max(1, freeCount / Math.max(1, processCount))
    ? freeCount >= 1
    : false;
}

function getLessLoaded(
  candidates: readonly views.UpstreamView[],
  input: ChoiceInput,
  nowMs: number,
): views.UpstreamView | undefined {
  if (candidates.length === 0) return undefined;
  const first = candidates[Math.floor(input.randomA * candidates.length)];
  const second = candidates[Math.floor(input.randomB * candidates.length)];
  const firstLoad = loads.getUtilisation(first, nowMs);
  return loads.getUtilisation(second, nowMs) < firstLoad ? second : first;
}

function createChoice(view: views.UpstreamView): UpstreamChoice {
  return {kind: 'chosen', upstreamId: view.upstreamId};
}
