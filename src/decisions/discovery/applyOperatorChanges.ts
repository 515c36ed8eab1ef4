import * as util from 'node:util';
import type * as entry from '../../model/entry/index.js';

/** A change of the rows that operators write: the configuration and the evacuated failure domains. */
export type OperatorRowChange =
  | {
      readonly kind: 'configuration';
      readonly configuration: entry.EntryConfiguration;
    }
  | {readonly kind: 'evacuated'; readonly failureDomain: string}
  | {readonly kind: 'restored'; readonly failureDomain: string};

/**
 * Applies changes to the operators' rows in the given order. An older version of the configuration is ignored.
 * Returns undefined before the first configuration.
 *
 * @param tableVersion The table's version after the changes.
 * @param isSnapshot Whether the changes hold all rows, so that an evacuation that they lack has ended.
 */
export function applyOperatorChanges(
  current: entry.OperatorRows | undefined,
  tableVersion: number,
  changes: readonly OperatorRowChange[],
  isSnapshot: boolean,
): entry.OperatorRows | undefined {
  let configuration = current?.configuration;
  const evacuated = new Set(isSnapshot ? [] : current?.evacuatedDomains);
  for (const change of changes) {
    switch (change.kind) {
      case 'configuration':
        // An equal configuration stays the same object: callers detect changes by identity.
        if (
          change.configuration.version >= (configuration?.version ?? 0) &&
          !util.isDeepStrictEqual(change.configuration, configuration)
        )
          configuration = change.configuration;
        break;
      case 'evacuated':
        evacuated.add(change.failureDomain);
        break;
      case 'restored':
        evacuated.delete(change.failureDomain);
        break;
    }
  }
  if (configuration === undefined) return undefined;
  return {tableVersion, configuration, evacuatedDomains: [...evacuated]};
}
