import type * as entry from '../../model/entry/index.js';
import * as hashes from '../placement/hash.js';
import * as ranking from '../placement/rankUpstreams.js';

/**
 * Chooses the VM of a region that writes the region's shares to the store, among the VMs that serve. VMs that know
 * different members may choose different writers for a moment; the later write then wins.
 */
export function chooseShareWriter(
  members: readonly entry.MemberRecord[],
  region: string,
): string | undefined {
  const candidates = members
    .filter(member => member.region === region)
    .map(({vmId}) => ({
      upstreamId: vmId,
      hash: hashes.getHash(vmId),
      weight: 1,
    }));
  const key = hashes.getHash(`placement/${region}`);
  return ranking.rankUpstreams(candidates, key, 1)[0];
}
