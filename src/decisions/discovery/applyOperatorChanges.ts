import * as util from 'node:util';
import type * as entry from '../../model/entry/index.js';

/** A change of the operators' rows that can be applied. */
export type OperatorRowChange =
  | {
      readonly kind: 'configuration';
      readonly configuration: entry.EntryConfiguration;
    }
  | {readonly kind: 'evacuated'; readonly failureDomain: string}
  | {readonly kind: 'restored'; readonly failureDomain: string};

/**
 * Applies changes to the operators' rows, in their order. An older version of the configuration is
 * never applied. Nothing comes back before the first configuration.
 */
export function applyOperatorChanges(
  known: entry.OperatorRows | undefined,
  tableVersion: number,
  changes: readonly OperatorRowChange[],
  isSnapshot: boolean,
): entry.OperatorRows | undefined {
  let configuration = known?.configuration;
  const evacuated = new Set(isSnapshot ? [] : known?.evacuatedDomains);
  for (const change of changes) {
    switch (change.kind) {
      case 'configuration':
        // What is known stays the same object, so that nobody takes it for a change.
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
