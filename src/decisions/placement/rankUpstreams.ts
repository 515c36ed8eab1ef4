import * as hashes from './hash.js';

/** An upstream that may be ranked for objects. */
export interface RankedUpstream {
  readonly upstreamId: string;

  /** The hash of the upstream's identifier. */
  readonly hash: number;

  /** The part of the objects that it gets, beside the other upstreams' weights. */
  readonly weight: number;
}

/**
 * Gets the `count` upstreams that come first for an object, by weighted rendezvous hashing:
 * each upstream is first for its weight's share of objects, and a change of one weight moves
 * only objects to or from that upstream.
 */
export function rankUpstreams(
  upstreams: readonly RankedUpstream[],
  objectHash: number,
  count: number,
): readonly string[] {
  const best: {readonly upstreamId: string; readonly score: number}[] = [];
  for (const upstream of upstreams) {
    if (upstream.weight <= 0) continue;
    const hash = hashes.combineHashes(upstream.hash, objectHash);
    const score = -upstream.weight / Math.log(hashes.getFraction(hash));
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
