import type * as entry from '../../model/entry/index.js';

/** The upstreams that a process uses, by identifier. */
export type KnownUpstreams = ReadonlyMap<string, entry.UpstreamRecord>;

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
  const read = new Map(records.map(record => [record.upstreamId, record]));
  const mayHaveLapsed =
    regainedAtMs !== undefined && nowMs < regainedAtMs + RETURN_TERM_MS;
  return mayHaveLapsed ? new Map([...known, ...read]) : read;
}
