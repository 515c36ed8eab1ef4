/** What one failure domain's callers ask for and its upstreams can do, both in slots. */
export interface DomainLoad {
  readonly failureDomain: string;
  readonly region: string;
  readonly demandSlots: number;
  readonly capacitySlots: number;
}

/** The part of a domain's objects that each domain's upstreams get; the parts add up to 1. */
export type DomainShares = ReadonlyMap<string, number>;

/** Utilisation up to which a domain keeps its own objects, whatever the others do. */
const HOME_UTILISATION = 0.45;

/** How far a domain may be above the mean utilisation before it gives objects away. */
const HOME_EXCESS = 1.15;

/**
 * Decides which part of the objects of one domain goes to which domain. A domain keeps its objects as far
 * as its upstreams reach; the rest goes first to its region and then to others, by the room that they have.
 */
export function getDomainShares(
  loads: readonly DomainLoad[],
  fromDomain: string,
): DomainShares {
  const own = loads.find(load => load.failureDomain === fromDomain);
  const demand = sum(loads.map(load => load.demandSlots));
  const capacity = sum(loads.map(load => load.capacitySlots));
  if (capacity <= 0 || own === undefined) return new Map();
  const utilisation = Math.max(
    HOME_UTILISATION,
    (demand / capacity) * HOME_EXCESS,
  );
  const near = loads.filter(load => load.region === own.region);
  const nearDemand = sum(near.map(load => load.demandSlots));
  const nearCapacity = sum(near.map(load => load.capacitySlots));
  const keptHere = getKeptPart(own.demandSlots, own.capacitySlots, utilisation);
  const keptNear = Math.max(
    keptHere,
    getKeptPart(nearDemand, nearCapacity, utilisation),
  );
  const parts = new Map([[fromDomain, keptHere]]);
  const others = near.filter(load => load !== own);
  const rest = divide(others, keptNear - keptHere, utilisation, parts);
  const far = loads.filter(load => load.region !== own.region);
  const left = divide(far, 1 - keptNear + rest, utilisation, parts);
  // Where nobody has room, all bear the rest by their size.
  for (const load of loads)
    addPart(parts, load, (left * load.capacitySlots) / capacity);
  return parts;
}

/** Moves shares towards their target by at most `maxStep` of all objects. */
export function stepShares(
  current: DomainShares | undefined,
  target: DomainShares,
  maxStep: number,
): DomainShares {
  if (current === undefined) return target;
  const moved = getDistance(current, target);
  const part = moved <= maxStep ? 1 : maxStep / moved;
  const domains = new Set([...current.keys(), ...target.keys()]);
  return new Map(
    [...domains].map(domain => {
      const known = current.get(domain) ?? 0;
      return [domain, known + ((target.get(domain) ?? 0) - known) * part];
    }),
  );
}

/** Gets the part of all objects that move between two divisions. */
export function getDistance(first: DomainShares, second: DomainShares): number {
  let distance = 0;
  for (const domain of new Set([...first.keys(), ...second.keys()]))
    distance += Math.abs((first.get(domain) ?? 0) - (second.get(domain) ?? 0));
  return distance / 2;
}

/** Divides a part of the objects by the room of domains; gives what is left when none has room. */
function divide(
  loads: readonly DomainLoad[],
  part: number,
  utilisation: number,
  parts: Map<string, number>,
): number {
  const rooms = loads.map(load =>
    Math.max(0, load.capacitySlots * utilisation - load.demandSlots),
  );
  const room = sum(rooms);
  if (part <= 0 || room <= 0) return Math.max(0, part);
  loads.forEach((load, index) =>
    addPart(parts, load, (part * rooms[index]) / room),
  );
  return 0;
}

function addPart(
  parts: Map<string, number>,
  {failureDomain}: DomainLoad,
  part: number,
): void {
  parts.set(failureDomain, (parts.get(failureDomain) ?? 0) + part);
}

function getKeptPart(
  demandSlots: number,
  capacitySlots: number,
  utilisation: number,
): number {
  if (demandSlots <= 0) return capacitySlots > 0 ? 1 : 0;
  return Math.min(1, (capacitySlots * utilisation) / demandSlots);
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
