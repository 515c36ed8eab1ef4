import * as hashes from './hash.js';

/** An upstream that can be ranked for objects. */
export interface RankableUpstream {
  readonly upstreamId: string;

  /** The hash of the upstream's identifier. */
  readonly hash: number;

  /** The upstream's share of the objects, relative to the weights of the other upstreams. */
  readonly weight: number;
}

/**
 * Gets the identifiers of up to `count` upstreams that rank highest for an object, best first, by weighted rendezvous
 * hashing: each upstream ranks first for a share of the objects in proportion to its weight, and a change of one
 * weight only moves objects to or from that upstream. Upstreams without weight are left out.
 */
export function rankUpstreams(
  upstreams: readonly RankableUpstream[],
  objectHash: number,
  count: number,
): readonly string[] {
  const best: {readonly upstreamId: string; readonly score: number}[] = [];
  for (const upstream of upstreams) {
    if (upstream.weight <= 0) continue;
    const hash = hashes.combineHashes(upstream.hash, objectHash);
    const score = -upstream.weight / Math.log(hashes.getHashFraction(hash));
    if (best.length === count && score <= best[count - 1].score) continue;
    const at = best.findIndex(other => other.score < score);
    best.splice(at < 0 ? best.length : at, 0, {
      upstreamId: upstream.upstreamId,
      score,
    });
    if (best.length > count) best.pop();
  }
  return best.map(ranked => ranked.upstreamId);
}
