/** What one region's callers ask for and its upstreams can do, both in slots. */
export interface RegionLoad {
  readonly region: string;
  readonly demandSlots: number;
  readonly capacitySlots: number;
}

/** The part of a region's objects that each region's upstreams get; the parts add up to 1. */
export type RegionShares = ReadonlyMap<string, number>;

/** Utilisation up to which a region keeps its own objects, whatever the others do. */
const HOME_UTILISATION = 0.6;

/** How far a region may be above the mean utilisation before it gives objects away. */
const HOME_EXCESS = 1.15;

/**
 * Decides which part of the objects of `fromRegion` goes to which region. A region keeps its objects
 * as far as its upstreams reach; the rest goes to the others by the room that they have left.
 */
export function getRegionShares(
  loads: readonly RegionLoad[],
  fromRegion: string,
): RegionShares {
  const demand = sum(loads.map(load => load.demandSlots));
  const capacity = sum(loads.map(load => load.capacitySlots));
  if (capacity <= 0) return new Map();
  const utilisation = Math.max(
    HOME_UTILISATION,
    (demand / capacity) * HOME_EXCESS,
  );
  const own = loads.find(load => load.region === fromRegion);
  const kept = own === undefined ? 0 : getKeptPart(own, utilisation);
  const rooms = loads.map(load =>
    load.region === fromRegion
      ? 0
      : Math.max(0, load.capacitySlots * utilisation - load.demandSlots),
  );
  const room = sum(rooms);
  const shares = new Map<string, number>();
  loads.forEach((load, index) => {
    if (load.region === fromRegion)
      shares.set(load.region, room > 0 ? kept : 1);
    else shares.set(load.region, room > 0 ? ((1 - kept) * rooms[index]) / room : 0);
  });
  return shares;
}

/** Moves shares towards their target by at most `maxStep` of all objects. */
export function stepShares(
  current: RegionShares | undefined,
  target: RegionShares,
  maxStep: number,
): RegionShares {
  if (current === undefined) return target;
  let moved = 0;
  for (const [region, share] of target)
    moved += Math.abs(share - (current.get(region) ?? 0)) / 2;
  const part = moved <= maxStep ? 1 : maxStep / moved;
  return new Map(
    [...target].map(([region, share]) => {
      const known = current.get(region) ?? 0;
      return [region, known + (share - known) * part];
    }),
  );
}

function getKeptPart(own: RegionLoad, utilisation: number): number {
  if (own.demandSlots <= 0) return own.capacitySlots > 0 ? 1 : 0;
  return Math.min(1, (own.capacitySlots * utilisation) / own.demandSlots);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
