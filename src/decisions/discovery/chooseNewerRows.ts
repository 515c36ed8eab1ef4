import type * as entry from '../../model/entry/index.js';

/**
 * Chooses between what a process knows of the operators' rows and what a peer knows. Versions of the
 * configuration never go back, whatever the versions of the table say.
 */
export function chooseNewerRows(
  known: entry.OperatorRows | undefined,
  offered: entry.OperatorRows,
): entry.OperatorRows {
  if (known === undefined) return offered;
  const isNewer =
    offered.tableVersion > known.tableVersion &&
    offered.configuration.version >= known.configuration.version;
  return isNewer ? offered : known;
}
