import type * as entry from '../../model/entry/index.js';
import * as orders from './chooseLaterRecord.js';

/** The upstreams that a process uses, by upstream identifier. */
export type UpstreamsById = ReadonlyMap<string, entry.UpstreamRecord>;

/** An upstream that has left: its record was removed while the table was available. */
export interface DepartedUpstream {
  /** The latest record, before the removal or since. */
  readonly record: entry.UpstreamRecord;

  /** Whether the record has come back. */
  readonly hasReturned: boolean;

  /** Monotonic time in milliseconds until which a record that comes back has to be renewed before it counts. */
  readonly expiresAtMs: number;
}

/** The upstreams known from all reads of the upstream table so far. */
export interface DiscoveryState {
  readonly upstreams: UpstreamsById;

  /** The identifiers of known upstreams whose records have been missing since an outage of the table ended. */
  readonly expiredIds: ReadonlySet<string>;

  /** The upstreams that have left lately, by upstream identifier. */
  readonly departed: ReadonlyMap<string, DepartedUpstream>;
}

/** The state before the first read. */
export const INITIAL_DISCOVERY: DiscoveryState = {
  upstreams: new Map(),
  expiredIds: new Set(),
  departed: new Map(),
};

/**
 * How long in milliseconds after an outage of the table a record that expired during the outage may stay missing:
 * upstreams write their records again within two seconds, so one that takes longer has left.
 */
export const RENEWAL_GRACE_MS = 2100;

/** How long in milliseconds after its removal a record may come back by a write that the table applied late. */
const LATE_WRITE_MS = 60_000;

/** The result of one read of all upstream records. */
export interface UpstreamTableRead {
  readonly records: readonly entry.UpstreamRecord[];

  /** The identifiers of rows that could not be decoded; they name no upstream to use. */
  readonly unreadableIds: readonly string[];

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
  const {records, unreadableIds, isFirstAfterOutage, outageEndedAtMs} =
    tableRead;
  const expiredIds = new Set<string>();
  const readIds = new Set(records.map(record => record.upstreamId));
  for (const upstreamId of unreadableIds) readIds.add(upstreamId);
  const isWithinGrace =
    outageEndedAtMs !== undefined && nowMs < outageEndedAtMs + RENEWAL_GRACE_MS;
  if (isWithinGrace)
    for (const upstreamId of current.upstreams.keys()) {
      if (readIds.has(upstreamId)) continue;
      if (isFirstAfterOutage || current.expiredIds.has(upstreamId))
        expiredIds.add(upstreamId);
    }
  const context = {isStoreIncomplete: isWithinGrace};
  return applyRecords(current, records, expiredIds, context, nowMs);
}

/**
 * Merges a peer's newer upstreams into the known ones. Records that a peer kept over an outage say nothing new: the
 * upstream may have left during the outage.
 */
export function mergePeerUpstreams(
  current: DiscoveryState,
  peerRows: entry.UpstreamRows,
  nowMs: number,
): DiscoveryState {
  const peerExpiredIds = new Set(peerRows.expiredIds);
  const hasRead = current.upstreams.size > 0 || current.departed.size > 0;
  const records = peerRows.upstreams.filter(
    ({upstreamId}) => !hasRead || !peerExpiredIds.has(upstreamId),
  );
  const expiredIds = new Set(
    [...peerExpiredIds].filter(upstreamId => current.upstreams.has(upstreamId)),
  );
  const context = {isStoreIncomplete: peerExpiredIds.size > 0};
  return applyRecords(current, records, expiredIds, context, nowMs);
}

/** Applies the records of a table, in which those of `keptIds` are missing although their upstreams may be running. */
function applyRecords(
  current: DiscoveryState,
  records: readonly entry.UpstreamRecord[],
  keptIds: ReadonlySet<string>,
  context: orders.RecordContext,
  nowMs: number,
): DiscoveryState {
  const upstreams = new Map<string, entry.UpstreamRecord>();
  const departed = new Map(
    [...current.departed].filter(([, {expiresAtMs}]) => expiresAtMs > nowMs),
  );
  const listedIds = new Set(keptIds);
  for (const record of records) {
    const {upstreamId} = record;
    listedIds.add(upstreamId);
    const known = current.upstreams.get(upstreamId);
    const former = departed.get(upstreamId);
    if (former !== undefined && !isRenewed(former, record, context)) {
      departed.set(upstreamId, {
        ...former,
        record: orders.chooseLaterRecord(former.record, record, context),
        hasReturned: true,
      });
      continue;
    }
    departed.delete(upstreamId);
    upstreams.set(
      upstreamId,
      known === undefined
        ? record
        : orders.chooseLaterRecord(known, record, context),
    );
  }
  for (const [upstreamId, record] of current.upstreams) {
    if (keptIds.has(upstreamId)) upstreams.set(upstreamId, record);
    else if (!listedIds.has(upstreamId) && !current.expiredIds.has(upstreamId))
      departed.set(upstreamId, createDeparture(record, nowMs));
  }
  return {upstreams, expiredIds: keptIds, departed};
}

/** Creates the entry of an upstream whose record has been removed. */
export function createDeparture(
  record: entry.UpstreamRecord,
  nowMs: number,
): DepartedUpstream {
  return {record, hasReturned: false, expiresAtMs: nowMs + LATE_WRITE_MS};
}

/** Whether a record that came back after its removal is of another start, or has been renewed since it came back. */
function isRenewed(
  former: DepartedUpstream,
  record: entry.UpstreamRecord,
  {isStoreIncomplete}: orders.RecordContext,
): boolean {
  if (isStoreIncomplete && orders.isEarlierStart(record, former.record))
    return false;
  if (!orders.areOrdered(former.record, record)) return true;
  return former.hasReturned && record.revision > former.record.revision;
}
