import type * as entry from '../../model/entry/index.js';

/** The upstreams that a process uses, by upstream identifier. */
export type UpstreamsById = ReadonlyMap<string, entry.UpstreamRecord>;

/** The upstreams known from all reads of the upstream table so far. */
export interface DiscoveryState {
  readonly upstreams: UpstreamsById;

  /** The identifiers of known upstreams whose records have been missing since an outage of the table ended. */
  readonly expiredIds: ReadonlySet<string>;
}

/** The state before the first read. */
export const INITIAL_DISCOVERY: DiscoveryState = {
  upstreams: new Map(),
  expiredIds: new Set(),
};

/**
 * How long in milliseconds after an outage of the table a record that expired during the outage may stay missing:
 * upstreams write their records again within two seconds, so one that takes longer has left.
 */
export const RENEWAL_GRACE_MS = 2100;

/** The result of one read of all upstream records. */
export interface UpstreamTableRead {
  readonly records: readonly entry.UpstreamRecord[];

  /** Whether this is the first read after an outage of the table. */
  readonly isFirstAfterOutage: boolean;

  /** Monotonic time in milliseconds at which the last outage ended; undefined if there was none. */
  readonly outageEndedAtMs: number | undefined;
}

/**
 * Merges a read of the upstream table into the known upstreams. An upstream whose record is missing has left, unless
 * the record has been missing since the first read after an outage: it may have expired during the outage, so the
 * upstream is kept for a grace period after the outage.
 */
export function mergeUpstreams(
  current: DiscoveryState,
  tableRead: UpstreamTableRead,
  nowMs: number,
): DiscoveryState {
  const {records, isFirstAfterOutage, outageEndedAtMs} = tableRead;
  const upstreams = new Map<string, entry.UpstreamRecord>();
  const expiredIds = new Set<string>();
  const readIds = new Set(records.map(record => record.upstreamId));
  const isWithinGrace =
    outageEndedAtMs !== undefined && nowMs < outageEndedAtMs + RENEWAL_GRACE_MS;
  if (isWithinGrace)
    for (const [upstreamId, record] of current.upstreams) {
      if (readIds.has(upstreamId)) continue;
      if (!isFirstAfterOutage && !current.expiredIds.has(upstreamId)) continue;
      upstreams.set(upstreamId, record);
      expiredIds.add(upstreamId);
    }
  for (const record of records) upstreams.set(record.upstreamId, record);
  return {upstreams, expiredIds};
}

/**
 * Replaces the known upstreams with a peer's merged records. The peer has kept the records that may have expired
 * during an outage, so an upstream that is not among them has left.
 */
export function replaceUpstreams(
  current: DiscoveryState,
  records: readonly entry.UpstreamRecord[],
): DiscoveryState {
  const upstreams = new Map(
    records.map(record => [record.upstreamId, record] as const),
  );
  const expiredIds = new Set(
    [...current.expiredIds].filter(upstreamId => upstreams.has(upstreamId)),
  );
  return {upstreams, expiredIds};
}
