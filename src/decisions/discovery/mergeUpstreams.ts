import type * as entry from '../../model/entry/index.js';

/** An upstream that is used, and until when if its entry is missing. */
export interface KnownUpstream {
  readonly record: entry.UpstreamRecord;

  /** Monotonic time in milliseconds at which it is dropped unless its entry comes back. */
  readonly missingUntilMs: number | undefined;
}

/** The upstreams that a process uses, by identifier. */
export type KnownUpstreams = ReadonlyMap<string, KnownUpstream>;

/** How long in milliseconds entries that lapsed during an outage of the table may take to come back. */
export const RETURN_TERM_MS = 2300;

/**
 * Merges a reading of the table into what is known. An entry that is missing means that the upstream has
 * left; only for `RETURN_TERM_MS` after an outage, which ended at `regainedAtMs`, may it have lapsed.
 */
export function mergeUpstreams(
  known: KnownUpstreams,
  records: readonly entry.UpstreamRecord[],
  regainedAtMs: number | undefined,
  nowMs: number,
): KnownUpstreams {
  const merged = new Map<string, KnownUpstream>();
  for (const record of records)
    merged.set(record.upstreamId, {record, missingUntilMs: undefined});
  if (regainedAtMs === undefined) return merged;
  const missingUntilMs = regainedAtMs + RETURN_TERM_MS;
  if (nowMs >= missingUntilMs) return merged;
  for (const [upstreamId, {record}] of known) {
    if (merged.has(upstreamId)) continue;
    merged.set(upstreamId, {record, missingUntilMs});
  }
  return merged;
}
