import type * as entry from '../../model/entry/index.js';
import type * as errors from '../../model/errors/index.js';
import * as hashes from '../placement/hash.js';
import type * as indexes from './RouteIndex.js';

/** What the decision knows of one version of the configuration. */
export interface EntryIndex {
  readonly routes: indexes.RouteIndex;
  readonly organisationsByKey: ReadonlyMap<string, entry.EntryOrganisation>;
  readonly hasOrganisations: boolean;

  /** Monotonic time in milliseconds until which "unknown" can be answered with certainty. */
  readonly certainUntilMs: number;
}

/** Whether a request may run, for whom and under which route. */
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

/** Decides whether a request may run at the monotonic time `nowMs`. */
export function decideEntry(
  index: EntryIndex,
  request: Pick<entry.EntryRequest, 'host' | 'target' | 'key'>,
  nowMs: number,
): EntryDecision {
  const route = index.routes.findTarget(request.host, request.target);
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
 * Gets the service that a request goes to. Requests for one object go to the same
 * service, so that its upstreams keep the object warm.
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
      return choosePart(
        destination.parts,
        objectKey === ''
          ? random
          : hashes.getFraction(hashes.getHash(objectKey)),
      );
  }
}

/** Gets the regions in which a request may run, or nothing when all are allowed. */
export function getHomeRegions(
  route: entry.EntryRoute,
  organisation: entry.EntryOrganisation | undefined,
): readonly string[] | undefined {
  const ofRoute = route.homeRegions;
  const ofOrganisation = organisation?.homeRegions ?? [];
  if (ofRoute.length === 0)
    return ofOrganisation.length === 0 ? undefined : ofOrganisation;
  if (ofOrganisation.length === 0) return ofRoute;
  return ofRoute.filter(region => ofOrganisation.includes(region));
}

function choosePart(
  parts: readonly entry.SplitPart[],
  position: number,
): string {
  const total = parts.reduce((sum, part) => sum + part.weight, 0);
  let rest = position * total;
  for (const part of parts) {
    rest -= part.weight;
    if (rest < 0) return part.serviceId;
  }
  return parts[parts.length - 1]?.serviceId ?? '';
}

/** A VM whose configuration may be out of date does not say for certain that something is unknown. */
function refuse(
  index: EntryIndex,
  nowMs: number,
  error: errors.ErrorKind,
  message: string,
): EntryDecision {
  if (nowMs < index.certainUntilMs) return {kind: 'refused', error, message};
  return {
    kind: 'refused',
    error: 'notFresh',
    message: `${message}, but the configuration may be out of date`,
  };
}
