import type * as entry from '../../model/entry/index.js';

/**
 * The VMs of an answer differ in weight only if their processors differ by more than this factor. Up to a factor of 2.2,
 * as on deployments with two sizes of VMs, equal parts of the callers overload none.
 */
const MAX_EQUAL_RATIO = 3;

/** The smallest number of VMs in an answer, so that callers have others to try when some of them die. */
const MIN_DRAWN_VMS = 4;

/** The part of its weight that a busy VM keeps. */
const BUSY_WEIGHT_FACTOR = 0.7;

/**
 * What a VM needs for each request per second: 10 ms of processor time, 16 KiB on its link and half a megabyte of memory. The
 * processor binds on VMs with usual links and memory; the others keep callers away from VMs with exceptionally little of them.
 */
const PROCESSORS_PER_RATE = 0.01;
const LINK_MBPS_PER_RATE = 0.13;
const MEMORY_MB_PER_RATE = 0.5;

/** Memory in MB that a process occupies without requests. */
const BASE_MEMORY_MB = 100;

/** The smallest rate that is assumed of a VM, so that a VM with little memory still gets callers. */
const MIN_RATE = 1;

/**
 * Draws VMs for an answer to a caller, which picks one of them at random, so that each VM is picked in proportion to
 * its weight. The load handled is a failure domain whose VMs differ much in processor time: with equal parts of the
 * callers, the small VMs are overloaded while the large ones are idle. Returns all VMs where they differ little.
 *
 * @param drawFraction From 0 to below 1; evenly spread values name each VM as often as its weight demands.
 */
export function drawVms(
  members: readonly entry.MemberRecord[],
  drawFraction: number,
): readonly entry.MemberRecord[] {
  if (members.length <= MIN_DRAWN_VMS || !areUnequal(members)) return members;
  const weights = getWeights(members);
  const totalWeight = weights.reduce((sum, weight) => sum + weight, 0);
  const drawnCount = Math.max(
    MIN_DRAWN_VMS,
    Math.floor(totalWeight / Math.max(...weights)),
  );
  const chances = getChances(weights, drawnCount);
  // Systematic sampling: of points at distance 1 along the sum of the chances, each names the VM on whose part it falls.
  let chanceSum = 0;
  return members.filter((_, index) => {
    const pointsBefore = Math.ceil(chanceSum - drawFraction);
    chanceSum += chances[index];
    return Math.ceil(chanceSum - drawFraction) > pointsBefore;
  });
}

function areUnequal(members: readonly entry.MemberRecord[]): boolean {
  const counts = members.flatMap(({capacity}) =>
    capacity === undefined ? [] : [capacity.processorCount],
  );
  return Math.max(...counts) > MAX_EQUAL_RATIO * Math.min(...counts);
}

/** Gets the VMs' weights; a VM that has not reported its resources has the median of the others' weights. */
function getWeights(members: readonly entry.MemberRecord[]): readonly number[] {
  const weights = members.map(({capacity}) =>
    capacity === undefined ? undefined : getWeight(capacity),
  );
  const known = weights
    .filter(weight => weight !== undefined)
    .sort((a, b) => a - b);
  const median = known[Math.floor(known.length / 2)];
  return weights.map(weight => weight ?? median);
}

function getWeight(capacity: entry.MemberCapacity): number {
  const rate = Math.min(
    capacity.processorCount / PROCESSORS_PER_RATE,
    capacity.linkMbps / LINK_MBPS_PER_RATE,
    (capacity.memoryMb - BASE_MEMORY_MB) / MEMORY_MB_PER_RATE,
  );
  return Math.max(MIN_RATE, rate) * (capacity.isBusy ? BUSY_WEIGHT_FACTOR : 1);
}

/** Gets the chance of each VM to be named: in proportion to its weight, at most 1, and `drawnCount` in total. */
function getChances(
  weights: readonly number[],
  drawnCount: number,
): readonly number[] {
  const certain = new Set<number>();
  for (;;) {
    const freeWeight = weights.reduce(
      (sum, weight, index) => (certain.has(index) ? sum : sum + weight),
      0,
    );
    const ratio = (drawnCount - certain.size) / freeWeight;
    const chances = weights.map((weight, index) =>
      certain.has(index) ? 1 : weight * ratio,
    );
    const certainCount = certain.size;
    for (const [index, chance] of chances.entries())
      if (chance > 1) certain.add(index);
    if (certain.size === certainCount) return chances;
  }
}
