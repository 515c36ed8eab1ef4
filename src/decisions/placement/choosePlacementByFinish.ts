import type * as placements from './choosePlacement.js';

/** The expected times in milliseconds of a request at an upstream that works at its usual speed. */
export interface ServiceTimes {
  /** The time that the request takes where its object is warm. */
  readonly warmMs: number;

  /** The time that the request takes where its object is not known to be warm. */
  readonly coldMs: number;

  /** The mean time for which a request of any kind occupies a slot of the service. */
  readonly slotMs: number;
}

/** The request that is to be placed. */
export interface FinishQuery {
  readonly times: ServiceTimes;

  /** The upstream that normally has the object warm, because requests for it go there first. */
  readonly designatedId: string | undefined;

  /** The time in milliseconds in which the answer meets the route's objective; negative after that. */
  readonly objectiveLeftMs: number;

  /** The time in milliseconds after which the answer is too late for the route or the caller. */
  readonly remainingMs: number;

  /** The longest expected wait in an upstream's queue, in milliseconds, with which the request may join it. */
  readonly maxWaitMs: number;
}

/** What is expected of a request at one upstream. */
export interface ExpectedRun {
  readonly isWarm: boolean;

  /** The relative speed of the upstream; 1 is as usual. */
  readonly speed: number;

  /** The expected time in milliseconds in the upstream's queue. */
  readonly waitMs: number;

  /** The expected time in milliseconds in a slot of the upstream. */
  readonly serviceMs: number;

  /** The expected time in milliseconds until the answer, with the way to another region and back. */
  readonly finishMs: number;
}

interface RankedRun extends ExpectedRun {
  readonly upstreamId: string;
  readonly isFallback: boolean;

  /** Whether the request would leave the slots that it occupies longer, because its object is cold, to no one's wait. */
  readonly hasRoom: boolean;
}

/** The time in milliseconds to another region and back: 20 ms each way on the known deployments. */
export const REGION_ROUND_TRIP_MS = 40;

/** The lowest speed that is assumed, so that an expected time stays finite. */
const MIN_SPEED = 0.01;

/**
 * Chooses the upstream at which a request is expected to finish first, among those whose queues it may join. An upstream
 * without the object is chosen if the request finishes there earlier than at all that have it, and if it has room for
 * the longer work: cold work in a queue delays others, displaces their objects and is then repeated elsewhere. Another
 * region is chosen only if its answer meets the objective and no answer from this region does, or if this region has no
 * available upstream. Handles bursts and uneven load, in which the first upstream of an object has a queue.
 */
export function choosePlacementByFinish(
  ranked: readonly placements.PlacementCandidate[],
  query: FinishQuery,
): placements.Placement {
  const runs = ranked
    .filter(candidate => candidate.isAvailable)
    .map(candidate => getRun(candidate, query));
  if (runs.length === 0) return {kind: 'none'};
  const local = runs.filter(run => !run.isFallback);
  const home = local.length > 0 ? local : runs;
  const warm = home.filter(run => run.isWarm);
  // Where no upstream has the object, the first takes the place of one that has.
  const preferred = warm.length > 0 ? warm : [home[0]];
  const preferredFinishMs = Math.min(...preferred.map(run => run.finishMs));
  const getExcessMs = ({waitMs, finishMs}: RankedRun) =>
    Math.max(waitMs - query.maxWaitMs, finishMs - query.remainingMs);
  const isJoinable = (run: RankedRun) =>
    getExcessMs(run) <= 0 &&
    (preferred.includes(run) ||
      (run.hasRoom && run.finishMs < preferredFinishMs));
  const meetsObjective = (run: RankedRun) =>
    run.finishMs <= query.objectiveLeftMs;
  const first = getFirstToFinish(home.filter(isJoinable));
  const best =
    first !== undefined && meetsObjective(first)
      ? first
      : (getFirstToFinish(runs.filter(isJoinable).filter(meetsObjective)) ??
        first);
  if (best === undefined)
    return {
      kind: 'crowded',
      joinableInMs: Math.min(...preferred.map(getExcessMs)),
    };
  const {upstreamId, isWarm, speed, waitMs, serviceMs, finishMs} = best;
  return {
    kind: 'chosen',
    upstreamId,
    expected: {isWarm, speed, waitMs, serviceMs, finishMs},
  };
}

function getRun(
  candidate: placements.PlacementCandidate,
  {times, designatedId}: FinishQuery,
): RankedRun {
  const {upstreamId, busyCount, isFallback} = candidate;
  const slotCount = Math.max(1, candidate.slotCount);
  const speed = Math.max(MIN_SPEED, candidate.speed ?? 1);
  const isWarm = candidate.isWarm || upstreamId === designatedId;
  // The request waits until as many requests have ended as there are too many with it.
  const excessCount = Math.max(0, busyCount + 1 - slotCount);
  // Cold work counts as the number of warm requests that it takes the time of.
  const roomCount = isWarm ? 1 : times.coldMs / Math.max(1, times.warmMs);
  const hasRoom = busyCount + roomCount <= slotCount;
  const waitMs = ((excessCount / slotCount) * times.slotMs) / speed;
  const serviceMs = (isWarm ? times.warmMs : times.coldMs) / speed;
  const travelMs = isFallback ? REGION_ROUND_TRIP_MS : 0;
  return {
    upstreamId,
    isFallback,
    hasRoom,
    isWarm,
    speed,
    waitMs,
    serviceMs,
    finishMs: travelMs + waitMs + serviceMs,
  };
}

/** Gets the run that finishes first; of equal ones the one that ranks first. */
function getFirstToFinish(runs: readonly RankedRun[]): RankedRun | undefined {
  let best: RankedRun | undefined;
  for (const run of runs)
    if (best === undefined || run.finishMs < best.finishMs) best = run;
  return best;
}
