/** The demand of one region's callers and the capacity of its upstreams, both in slots. */
export interface RegionLoad {
  readonly region: string;
  readonly demandSlots: number;
  readonly capacitySlots: number;
}

/** The fraction of one region's objects that is assigned to each region's upstreams; the fractions add up to 1. */
export type RegionShares = ReadonlyMap<string, number>;

/** Utilisation up to which a region keeps its own objects, whatever the utilisation of the other regions. */
const HOME_UTILISATION_RATIO = 0.45;

/** Ratio of a region's utilisation to the mean utilisation above which it hands objects to other regions. */
const HOME_TO_MEAN_UTILISATION_RATIO = 1.15;

/**
 * Decides which fraction of the objects of `fromRegion` is assigned to which region. A region keeps as many of its
 * objects as its upstreams can serve; the remainder is divided among the other regions in proportion to their spare
 * slots. Returns an empty map if there is no capacity or `loads` does not contain `fromRegion`.
 */
export function getRegionShares(
  loads: readonly RegionLoad[],
  fromRegion: string,
): RegionShares {
  const demand = sum(loads.map(load => load.demandSlots));
  const capacity = sum(loads.map(load => load.capacitySlots));
  const ownLoad = loads.find(load => load.region === fromRegion);
  if (capacity <= 0 || ownLoad === undefined) return new Map();
  const maxUtilisation = Math.max(
    HOME_UTILISATION_RATIO,
    (demand / capacity) * HOME_TO_MEAN_UTILISATION_RATIO,
  );
  const keptShare = getKeptShare(ownLoad, maxUtilisation);
  const spareSlotCounts = loads.map(load =>
    load === ownLoad
      ? 0
      : Math.max(0, load.capacitySlots * maxUtilisation - load.demandSlots),
  );
  const totalSpareSlots = sum(spareSlotCounts);
  // If no other region has spare slots, all regions share the remainder in proportion to their capacity.
  return new Map(
    loads.map((load, index) => [
      load.region,
      (load === ownLoad ? keptShare : 0) +
        (1 - keptShare) *
          (totalSpareSlots > 0
            ? spareSlotCounts[index] / totalSpareSlots
            : load.capacitySlots / capacity),
    ]),
  );
}

/** Moves `current` towards `target`; at most the fraction `maxStep` of all objects changes its region. */
export function moveSharesTowards(
  current: RegionShares,
  target: RegionShares,
  maxStep: number,
): RegionShares {
  const movedShare = getMovedShare(current, target);
  const stepFraction = movedShare <= maxStep ? 1 : maxStep / movedShare;
  const regions = new Set([...current.keys(), ...target.keys()]);
  return new Map(
    [...regions].map(region => {
      const currentShare = current.get(region) ?? 0;
      return [
        region,
        currentShare +
          ((target.get(region) ?? 0) - currentShare) * stepFraction,
      ];
    }),
  );
}

/** Gets the fraction of all objects whose region differs between two assignments. */
export function getMovedShare(
  first: RegionShares,
  second: RegionShares,
): number {
  let distance = 0;
  for (const region of new Set([...first.keys(), ...second.keys()]))
    distance += Math.abs((first.get(region) ?? 0) - (second.get(region) ?? 0));
  return distance / 2;
}

function getKeptShare(ownLoad: RegionLoad, maxUtilisation: number): number {
  if (ownLoad.demandSlots <= 0) return ownLoad.capacitySlots > 0 ? 1 : 0;
  return Math.min(
    1,
    (ownLoad.capacitySlots * maxUtilisation) / ownLoad.demandSlots,
  );
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
