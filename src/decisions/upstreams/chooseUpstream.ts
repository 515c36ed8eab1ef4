import * as avoidances from './Avoidance.js';
import * as loads from './getLoad.js';
import type * as views from './UpstreamView.js';

/** The fraction of another region's slots that may be taken when work is sent there. */
const SPILL_UTILISATION = 0.8;

/** Requests for each usable slot beyond which an upstream gets no more. */
const QUEUE_LIMIT = 2;

/** What a choice depends on besides the upstreams. */
export interface ChoiceInput {
  /** Upstreams that this request has tried already. */
  readonly triedIds: readonly string[];

  /** How many processes may choose at the same time. */
  readonly chooserCount: number;

  /** Two random numbers from 0 up to 1. */
  readonly randomA: number;
  readonly randomB: number;
}

/** The upstream that a request goes to, if any. */
export type UpstreamChoice =
  | {readonly kind: 'chosen'; readonly upstreamId: string}
  /** No upstream takes work at all. */
  | {readonly kind: 'none'}
  /** Those that take work are full. */
  | {readonly kind: 'full'};

const DISTANCES: readonly views.Distance[] = [
  'sameDomain',
  'sameRegion',
  'otherRegion',
];

/**
 * Chooses an upstream: near ones first, and of two random ones the less loaded. When all are left out, one that could be
 * reached since its failure gets a single request as a trial.
 */
export function chooseUpstream(
  upstreams: readonly views.UpstreamView[],
  input: ChoiceInput,
  nowMs: number,
): UpstreamChoice {
  const untried = upstreams.filter(
    view => !input.triedIds.includes(view.upstreamId),
  );
  const open = untried.filter(
    view => !avoidances.isAvoided(view.avoidance, nowMs),
  );
  const usable = open.length > 0 ? open : untried.filter(mayBeTried);
  if (usable.length === 0) return {kind: 'none'};
  for (const distance of DISTANCES) {
    const near = usable.filter(view => view.distance === distance);
    const candidates =
      distance === 'otherRegion'
        ? getSpillCandidates(near, input.chooserCount, nowMs)
        : near;
    const best = getLessLoaded(candidates, input, nowMs);
    if (best && loads.getUtilisation(best, nowMs) < 1) return choose(best);
  }
  return chooseQueue(usable, nowMs);
}

/** Whether an upstream that is left out may get one request: it reported since its failure, and nothing is under way. */
function mayBeTried(view: views.UpstreamView): boolean {
  const {avoidance, ownInFlightCount, report} = view;
  switch (avoidance.kind) {
    case 'none':
    case 'shed':
      return false;
    case 'failed':
      return (
        ownInFlightCount === 0 &&
        report !== undefined &&
        report.askedAtMs > avoidance.failedAtMs
      );
  }
}

/** Chooses the shortest queue at home when no slot is free. */
function chooseQueue(
  usable: readonly views.UpstreamView[],
  nowMs: number,
): UpstreamChoice {
  const home = usable.filter(view => view.distance !== 'otherRegion');
  const shortest = home.reduce<views.UpstreamView | undefined>(
    (best, view) =>
      best === undefined ||
      loads.getUtilisation(view, nowMs) < loads.getUtilisation(best, nowMs)
        ? view
        : best,
    undefined,
  );
  if (shortest === undefined) return {kind: 'full'};
  const isFull = loads.getUtilisation(shortest, nowMs) >= QUEUE_LIMIT;
  return isFull ? {kind: 'full'} : choose(shortest);
}

/** Keeps the upstreams of regions whose headroom this process has not used up. */
function getSpillCandidates(
  others: readonly views.UpstreamView[],
  chooserCount: number,
  nowMs: number,
): readonly views.UpstreamView[] {
  const regions = [...new Set(others.map(view => view.region))];
  return regions.flatMap(region => {
    const inRegion = others.filter(view => view.region === region);
    return hasHeadroom(inRegion, chooserCount, nowMs) ? inRegion : [];
  });
}

function hasHeadroom(
  inRegion: readonly views.UpstreamView[],
  chooserCount: number,
  nowMs: number,
): boolean {
  let slotCount = 0;
  let busyCount = 0;
  let ownCount = 0;
  for (const view of inRegion) {
    slotCount += loads.getUsableSlots(view, nowMs);
    busyCount += loads.getBusyCount(view, nowMs);
    ownCount += view.ownInFlightCount;
  }
  const freeCount = SPILL_UTILISATION * slotCount - (busyCount - ownCount);
  return ownCount + 1 <= Math.max(1, freeCount / Math.max(1, chooserCount))
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

function choose(view: views.UpstreamView): UpstreamChoice {
  return {kind: 'chosen', upstreamId: view.upstreamId};
}
