import type * as entry from '../../model/entry/index.js';
import type * as upstreams from './mergeUpstreams.js';

/**
 * Adds the known upstreams that another VM's rows of a newer timeline lack, as expired: the store may have lost their
 * rows, which they write again.
 */
export function addMissingUpstreams(
  {upstreams, expiredIds}: upstreams.DiscoveryState,
  rows: entry.UpstreamRows,
): entry.UpstreamRows {
  const listedIds = new Set(rows.upstreams.map(({upstreamId}) => upstreamId));
  const missing = [...upstreams.values()].filter(
    ({upstreamId}) => !listedIds.has(upstreamId),
  );
  return {
    ...rows,
    upstreams: [...rows.upstreams, ...missing],
    expiredIds: [
      ...new Set([
        ...rows.expiredIds,
        ...[...expiredIds].filter(id => !listedIds.has(id)),
        ...missing.map(({upstreamId}) => upstreamId),
      ]),
    ],
  };
}
