import type * as placement from '../placement/choosePlacement.js';

/** A candidate of which the load that no report counts is estimated, too. */
export interface DesignatedCandidate extends placement.PlacementCandidate {
  /** Expected number of other VMs' requests that `busyCount` does not contain; 0 if undefined. */
  readonly unreportedCount?: number;
}

/** The number of an object's upstreams that are designated to have it warm. */
const DESIGNATED_COUNT = 2;

/**
 * Orders the candidates that are ranked for an object, best first, for load that many VMs spread over the same
 * upstreams. The first two in the object's region are designated for it: both count as warm, and the one with the
 * shorter expected wait comes first.
 *
 * @param prefersSecond Which one comes first while the waits are equal, as for upstreams of which nothing is known.
 *     Callers alternate, as otherwise all VMs would choose the same one.
 */
export function orderDesignated(
  ranked: readonly DesignatedCandidate[],
  prefersSecond: boolean,
): readonly placement.PlacementCandidate[] {
  const designated = ranked
    .filter(candidate => candidate.isAvailable && !candidate.isFallback)
    .slice(0, DESIGNATED_COUNT)
    .map(candidate => ({...candidate, isWarm: true}));
  if (designated.length < DESIGNATED_COUNT) return ranked;
  const [first, second] = designated;
  const waitDifference = getWait(second) - getWait(first);
  const isSecondFirst =
    waitDifference === 0 ? prefersSecond : waitDifference < 0;
  const ids = designated.map(({upstreamId}) => upstreamId);
  return [
    ...(isSecondFirst ? [second, first] : [first, second]),
    ...ranked.filter(({upstreamId}) => !ids.includes(upstreamId)),
  ];
}

/** Gets a number that increases with the time until a further request would be done. */
function getWait({
  busyCount,
  unreportedCount = 0,
  slotCount,
  speed = 1,
}: DesignatedCandidate): number {
  // While slots are free a request doesn't wait, but it runs at the upstream's speed.
  return (1 + (busyCount + unreportedCount) / Math.max(1, slotCount)) / speed;
}
