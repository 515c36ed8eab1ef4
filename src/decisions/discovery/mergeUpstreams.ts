import type * as entry from '../../model/entry/index.js';

/** The upstreams that a process uses, by identifier. */
export type KnownUpstreams = ReadonlyMap<string, entry.UpstreamRecord>;

/** What readings of the upstreams' entries have brought so far. */
export interface Discovery {
  readonly upstreams: KnownUpstreams;

  /** Those of them whose entries have been missing ever since an outage of the table ended. */
  readonly lapsedIds: ReadonlySet<string>;
}

/** What is known before the first reading. */
export const NOTHING_DISCOVERED: Discovery = {
  upstreams: new Map(),
  lapsedIds: new Set(),
};

/**
 * How long in milliseconds entries that lapsed during an outage of the table may take to come back: upstreams
 * need two seconds, and have left if they take longer.
 */
export const RETURN_TERM_MS = 2100;

/** A reading of all entries. */
export interface DiscoveryReading {
  readonly records: readonly entry.UpstreamRecord[];

  /** Whether it is the first one after an outage of the table. */
  readonly isFirstAfterOutage: boolean;

  /** Monotonic time in milliseconds at which the last outage ended, if there was one. */
  readonly regainedAtMs: number | undefined;
}

/**
 * Merges a reading of the table into what is known. An entry that is missing means that the upstream has
 * left. Only one that was missing already when an outage ended may have lapsed, and is kept for
 * `RETURN_TERM_MS`.
 */
export function mergeUpstreams(
  known: Discovery,
  reading: DiscoveryReading,
  nowMs: number,
): Discovery {
  const {records, isFirstAfterOutage, regainedAtMs} = reading;
  const upstreams = new Map<string, entry.UpstreamRecord>();
  const lapsedIds = new Set<string>();
  const readIds = new Set(records.map(record => record.upstreamId));
  const isReturnAwaited =
    regainedAtMs !== undefined && nowMs < regainedAtMs + RETURN_TERM_MS;
  if (isReturnAwaited)
    for (const [upstreamId, record] of known.upstreams) {
      if (readIds.has(upstreamId)) continue;
      if (!isFirstAfterOutage && !known.lapsedIds.has(upstreamId)) continue;
      upstreams.set(upstreamId, record);
      lapsedIds.add(upstreamId);
    }
  for (const record of records) upstreams.set(record.upstreamId, record);
  return {upstreams, lapsedIds};
}

/** Takes records that a peer has merged already: all that it lacks is gone. */
export function takeUpstreams(
  known: Discovery,
  records: readonly entry.UpstreamRecord[],
): Discovery {
  const upstreams = new Map(
    records.map(record => [record.upstreamId, record] as const),
  );
  const lapsedIds = new Set(
    [...known.lapsedIds].filter(upstreamId => upstreams.has(upstreamId)),
  );
  return {upstreams, lapsedIds};
}
