import * as ranking from './rankUpstreams.js';

/** A region whose upstreams can be ranked for objects. */
export interface RankableRegion {
  readonly region: string;

  /** The hash of the region's name. */
  readonly hash: number;

  /** The region's share of the objects, relative to the shares of the other regions. */
  readonly share: number;

  readonly upstreams: readonly ranking.RankableUpstream[];
}

/** Upstreams ranked in an object's first region, so that alternatives to a full upstream are in the same region. */
const FIRST_REGION_UPSTREAM_COUNT = 3;

/** Upstreams ranked in total; the last is in another region, in case none in the first region can be reached. */
const MAX_RANKED_UPSTREAM_COUNT = 4;

/**
 * Gets the identifiers of the upstreams that rank highest for an object, best first. The region is chosen before the
 * upstream and independently of the service, so that objects stay in their region when its upstreams are replaced or
 * when a route moves to another service.
 */
export function rankInRegions(
  regions: readonly RankableRegion[],
  objectHash: number,
): readonly string[] {
  const rankedRegions = ranking.rankUpstreams(
    regions
      .filter(({upstreams}) => upstreams.length > 0)
      .map(({region, hash, share}) => ({
        upstreamId: region,
        hash,
        weight: share,
      })),
    objectHash,
    regions.length,
  );
  const ranked: string[] = [];
  for (const [index, name] of rankedRegions.entries()) {
    const upstreams =
      regions.find(({region}) => region === name)?.upstreams ?? [];
    const isOnlyRegion = rankedRegions.length === 1;
    const maxCount =
      index === 0 && !isOnlyRegion
        ? FIRST_REGION_UPSTREAM_COUNT
        : MAX_RANKED_UPSTREAM_COUNT - ranked.length;
    ranked.push(...ranking.rankUpstreams(upstreams, objectHash, maxCount));
    if (ranked.length >= MAX_RANKED_UPSTREAM_COUNT) break;
  }
  return ranked;
}
