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

/** Which of the operators' rows were read. */
export type OperatorRowsExtent =
  /** Those that changed since an earlier read. */
  | {readonly kind: 'changes'}
  /** All rows. */
  | {readonly kind: 'all'}
  /** All rows that the store has, while it may still lack rows that operators are about to write again. */
  | {readonly kind: 'incomplete'};

/**
 * Applies changes to the operators' rows in the given order. An older version of the configuration is ignored.
 * Returns undefined before the first configuration.
 *
 * @param position The store's position after the changes.
 * @param extent Whether an evacuation that the changes lack has ended.
 */
export function applyOperatorChanges(
  current: entry.OperatorRows | undefined,
  position: entry.StorePosition,
  changes: readonly OperatorRowChange[],
  extent: OperatorRowsExtent,
): entry.OperatorRows | undefined {
  let configuration = current?.configuration;
  const evacuated = new Set(
    keepsEvacuations(extent) ? current?.evacuatedDomains : [],
  );
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
  return {position, configuration, evacuatedDomains: [...evacuated]};
}

function keepsEvacuations(extent: OperatorRowsExtent): boolean {
  switch (extent.kind) {
    case 'changes':
    case 'incomplete':
      return true;
    case 'all':
      return false;
  }
}
