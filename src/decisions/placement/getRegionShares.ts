/** What one region's callers ask for and its upstreams can do, both in slots. */
export interface RegionLoad {
  readonly region: string;
  readonly demandSlots: number;
  readonly capacitySlots: number;
}

/** The part of a region's objects that each region's upstreams get; the parts add up to 1. */
export type RegionShares = ReadonlyMap<string, number>;

/** Utilisation up to which a region keeps its own objects, whatever the others do. */
const HOME_UTILISATION = 0.45;

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
  const own = loads.find(load => load.region === fromRegion);
  if (capacity <= 0 || own === undefined) return new Map();
  const utilisation = Math.max(
    HOME_UTILISATION,
    (demand / capacity) * HOME_EXCESS,
  );
  const kept = getKeptPart(own, utilisation);
  const rooms = loads.map(load =>
    load === own
      ? 0
      : Math.max(0, load.capacitySlots * utilisation - load.demandSlots),
  );
  const room = sum(rooms);
  // Where nobody has room, all bear the rest by their size.
  return new Map(
    loads.map((load, index) => [
      load.region,
      (load === own ? kept : 0) +
        (1 - kept) *
          (room > 0 ? rooms[index] / room : load.capacitySlots / capacity),
    ]),
  );
}

/** Moves shares towards their target by at most `maxStep` of all objects. */
export function stepShares(
  current: RegionShares,
  target: RegionShares,
  maxStep: number,
): RegionShares {
  const moved = getDistance(current, target);
  const part = moved <= maxStep ? 1 : maxStep / moved;
  const regions = new Set([...current.keys(), ...target.keys()]);
  return new Map(
    [...regions].map(region => {
      const known = current.get(region) ?? 0;
      return [region, known + ((target.get(region) ?? 0) - known) * part];
    }),
  );
}

/** Gets the part of all objects that move between two divisions. */
export function getDistance(first: RegionShares, second: RegionShares): number {
  let distance = 0;
  for (const region of new Set([...first.keys(), ...second.keys()]))
    distance += Math.abs((first.get(region) ?? 0) - (second.get(region) ?? 0));
  return distance / 2;
}

function getKeptPart(own: RegionLoad, utilisation: number): number {
  if (own.demandSlots <= 0) return own.capacitySlots > 0 ? 1 : 0;
  return Math.min(1, (own.capacitySlots * utilisation) / own.demandSlots);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
