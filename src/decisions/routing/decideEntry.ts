import type * as entry from '../../model/entry/index.js';
import type * as errors from '../../model/errors/index.js';
import * as hashes from '../placement/hash.js';
import type * as indexes from './RouteIndex.js';

/** The parts of one version of the configuration that decide whether a request is admitted. */
export interface EntryIndex {
  readonly routes: indexes.RouteIndex;
  readonly organisationsByKey: ReadonlyMap<string, entry.EntryOrganisation>;

  /** Whether the configuration has any organisations; without them no key is checked. */
  readonly hasOrganisations: boolean;

  /**
   * Monotonic time in milliseconds until which the configuration counts as up to date, so that a route or a key that
   * it does not contain is known not to exist.
   */
  readonly freshUntilMs: number;
}

/** Whether a request is admitted, with its route and organisation. */
export type EntryDecision =
  | {
      readonly kind: 'granted';
      readonly route: entry.EntryRoute;
      readonly organisation: entry.EntryOrganisation | undefined;
    }
  | {
      readonly kind: 'refused';
      readonly error: errors.ErrorKind;
      readonly message: string;
    };

/** Decides whether a request is admitted at the monotonic time `nowMs`. */
export function decideEntry(
  index: EntryIndex,
  request: Pick<entry.EntryRequest, 'host' | 'target' | 'key'>,
  nowMs: number,
): EntryDecision {
  const route = index.routes.findByTarget(request.host, request.target);
  if (route === undefined)
    return refuse(index, nowMs, 'routeNotFound', 'no route matches');
  if (route.access === 'open' || !index.hasOrganisations)
    return {kind: 'granted', route, organisation: undefined};
  const organisation = index.organisationsByKey.get(request.key);
  if (organisation === undefined)
    return refuse(index, nowMs, 'unauthenticated', 'the key is not granted');
  return {kind: 'granted', route, organisation};
}

/**
 * Gets the identifier of the service that handles a request. All requests for one object go to the same service, so
 * that its upstreams keep the object warm; requests without an object are distributed by `random`, which is at least
 * 0 and below 1.
 */
export function chooseService(
  route: entry.EntryRoute,
  objectKey: string,
  random: number,
): string {
  const {destination} = route;
  switch (destination.kind) {
    case 'service':
      return destination.serviceId;
    case 'split':
      return chooseSplitPart(
        destination.parts,
        objectKey === ''
          ? random
          : hashes.getHashFraction(hashes.getHash(objectKey)),
      );
  }
}

/** Gets the regions in which a request may run, or `undefined` if all regions are allowed. */
export function getHomeRegions(
  route: entry.EntryRoute,
  organisation: entry.EntryOrganisation | undefined,
): readonly string[] | undefined {
  const routeRegions = route.homeRegions;
  const organisationRegions = organisation?.homeRegions ?? [];
  if (routeRegions.length === 0)
    return organisationRegions.length === 0 ? undefined : organisationRegions;
  if (organisationRegions.length === 0) return routeRegions;
  return routeRegions.filter(region => organisationRegions.includes(region));
}

function chooseSplitPart(
  parts: readonly entry.WeightedService[],
  position: number,
): string {
  const totalWeight = parts.reduce((sum, part) => sum + part.weight, 0);
  let remainingWeight = position * totalWeight;
  for (const part of parts) {
    remainingWeight -= part.weight;
    if (remainingWeight < 0) return part.serviceId;
  }
  return parts[parts.length - 1]?.serviceId ?? '';
}

/** Refuses a request with `error`, or with `notFresh` if the configuration may be out of date. */
function refuse(
  index: EntryIndex,
  nowMs: number,
  error: errors.ErrorKind,
  message: string,
): EntryDecision {
  if (nowMs < index.freshUntilMs) return {kind: 'refused', error, message};
  return {
    kind: 'refused',
    error: 'notFresh',
    message: `${message}, but the configuration may be out of date`,
  };
}
