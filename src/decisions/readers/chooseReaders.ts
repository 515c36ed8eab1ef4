import type * as entry from '../../model/entry/index.js';
import * as placement from '../placement/index.js';

/** The weight of a VM that has not reported its resources. */
const DEFAULT_WEIGHT = 1;

/**
 * Chooses up to `count` VMs of a region by rendezvous hashing of their ids, weighted by their processors, best first.
 * Every VM that knows the same members chooses the same VMs without asking, and a VM that comes or goes replaces at most
 * one of them.
 */
export function chooseReaders(
  members: readonly entry.MemberRecord[],
  region: string,
  count: number,
): readonly entry.MemberRecord[] {
  const candidates = members.filter(member => member.region === region);
  const byId = new Map(candidates.map(member => [member.vmId, member]));
  return placement
    .rankUpstreams(
      [...byId.values()].map(({vmId, capacity}) => ({
        upstreamId: vmId,
        hash: placement.getHash(vmId),
        weight: capacity?.processorCount ?? DEFAULT_WEIGHT,
      })),
      placement.getHash(region),
      count,
    )
    .flatMap(vmId => byId.get(vmId) ?? []);
}
