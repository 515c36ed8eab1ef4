import type * as entry from '../../model/entry/index.js';
import * as discovery from '../discovery/index.js';

/**
 * Replaces the known upstreams by those of a reader, whose merge of the table decides which of them have left. Rows
 * that the reader keeps over an outage bring no upstream back that this VM has seen leave.
 */
export function adoptUpstreams(
  current: discovery.DiscoveryState,
  rows: entry.UpstreamRows,
  nowMs: number,
): discovery.DiscoveryState {
  const hasRead = current.upstreams.size > 0 || current.departed.size > 0;
  const expiredIds = new Set(
    rows.expiredIds.filter(id => !hasRead || current.upstreams.has(id)),
  );
  const withheldIds = new Set([
    ...rows.expiredIds.filter(id => !expiredIds.has(id)),
    ...getOutdatedIds(current, rows),
  ]);
  const context = {isStoreIncomplete: rows.expiredIds.length > 0};
  const upstreams = new Map(
    rows.upstreams
      .filter(({upstreamId}) => !withheldIds.has(upstreamId))
      .map(record => {
        const known = current.upstreams.get(record.upstreamId);
        return [
          record.upstreamId,
          known === undefined
            ? record
            : discovery.chooseLaterRecord(known, record, context),
        ];
      }),
  );
  const departed = new Map(
    [...current.departed].filter(
      ([id, {expiresAtMs}]) => expiresAtMs > nowMs && !upstreams.has(id),
    ),
  );
  for (const [id, record] of current.upstreams)
    if (!upstreams.has(id) && !current.expiredIds.has(id))
      departed.set(id, discovery.createDeparture(record, nowMs));
  return {upstreams, expiredIds, departed};
}

/**
 * Gets the upstreams that this VM has seen leave after the records that a reader passes on: a reader that has started
 * since does not know that they left.
 */
function getOutdatedIds(
  {departed}: discovery.DiscoveryState,
  {upstreams}: entry.UpstreamRows,
): readonly string[] {
  return upstreams
    .filter(record => {
      const former = departed.get(record.upstreamId)?.record;
      return (
        former !== undefined &&
        discovery.areOrdered(former, record) &&
        record.revision <= former.revision
      );
    })
    .map(({upstreamId}) => upstreamId);
}
