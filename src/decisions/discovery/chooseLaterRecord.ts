import type * as entry from '../../model/entry/index.js';

/**
 * Chooses the later one of two records of an upstream. The table may apply a write of an upstream after its next one,
 * so that a record read later can be the older one.
 */
export function chooseLaterRecord(
  known: entry.UpstreamRecord,
  read: entry.UpstreamRecord,
): entry.UpstreamRecord {
  return areOrdered(known, read) && read.revision < known.revision
    ? known
    : read;
}

/** Whether the revisions of two records can be compared: both are known, and of the same start of the upstream. */
export function areOrdered(
  a: entry.UpstreamRecord,
  b: entry.UpstreamRecord,
): boolean {
  return (
    a.startedAtMs !== 0 &&
    a.startedAtMs === b.startedAtMs &&
    a.host === b.host &&
    a.port === b.port &&
    a.revision > 0 &&
    b.revision > 0
  );
}
