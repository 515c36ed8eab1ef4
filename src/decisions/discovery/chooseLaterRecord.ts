import type * as entry from '../../model/entry/index.js';

/** How an upstream's record that was read lies to the one known before. */
export interface RecordContext {
  /**
   * Whether the store may lack rows that it had, as after its return from an older copy: a record of an earlier start is
   * then an old one. At other times an upstream's clock may have been set back.
   */
  readonly isStoreIncomplete: boolean;
}

/**
 * Chooses the later one of two records of an upstream. The table may apply a write of an upstream after its next one,
 * so that a record read later can be the older one.
 */
export function chooseLaterRecord(
  known: entry.UpstreamRecord,
  read: entry.UpstreamRecord,
  context: RecordContext,
): entry.UpstreamRecord {
  const isOlder =
    (areOrdered(known, read) && read.revision < known.revision) ||
    (context.isStoreIncomplete && isEarlierStart(read, known));
  return isOlder ? known : read;
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

/** Whether a record is of an earlier start than another one; false if the start of either is unknown. */
export function isEarlierStart(
  record: entry.UpstreamRecord,
  other: entry.UpstreamRecord,
): boolean {
  return record.startedAtMs !== 0 && record.startedAtMs < other.startedAtMs;
}
