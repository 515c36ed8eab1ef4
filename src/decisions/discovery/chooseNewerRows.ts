import type * as entry from '../../model/entry/index.js';

/**
 * Chooses the newer one of a process's operator rows and a peer's. The version of the configuration never decreases,
 * even if the peer's rows have a newer table version.
 */
export function chooseNewerRows(
  current: entry.OperatorRows | undefined,
  peerRows: entry.OperatorRows,
): entry.OperatorRows {
  if (current === undefined) return peerRows;
  const isNewer =
    peerRows.tableVersion > current.tableVersion &&
    peerRows.configuration.version >= current.configuration.version;
  return isNewer ? peerRows : current;
}
