import * as util from 'node:util';
import * as errors from '../../model/errors/index.js';
import type * as entry from '../../model/entry/index.js';
import * as positions from '../positions/index.js';

/**
 * Merges the operators' rows that another VM passed on into those of this VM. The version of the configuration never
 * decreases, even if the other rows are of a newer position: a store that has returned from an older copy lacks the newest
 * configuration until the operator has written it again. An equal configuration stays the same object, by which callers
 * detect changes.
 */
export function mergeOperatorRows(
  current: entry.OperatorRows | undefined,
  passedOn: entry.OperatorRows,
): entry.OperatorRows {
  if (current === undefined) return passedOn;
  const isNewer =
    positions.comparePositions(passedOn.position, current.position) === 'newer';
  if (!isNewer) return current;
  const {position, evacuatedDomains} = passedOn;
  const configuration = chooseConfiguration(
    current.configuration,
    passedOn.configuration,
  );
  const order = positions.compareTimelines(
    position.timeline,
    current.position.timeline,
  );
  switch (order) {
    case 'equal':
      return passedOn.configuration.version < current.configuration.version
        ? current
        : {position, configuration, evacuatedDomains};
    case 'newer':
      return {
        position,
        configuration,
        evacuatedDomains: [
          ...new Set([...current.evacuatedDomains, ...evacuatedDomains]),
        ],
      };
    case 'older':
      return current;
    default:
      return errors.throwUnreachable(order);
  }
}

function chooseConfiguration(
  current: entry.EntryConfiguration,
  passedOn: entry.EntryConfiguration,
): entry.EntryConfiguration {
  return passedOn.version < current.version ||
    util.isDeepStrictEqual(passedOn, current)
    ? current
    : passedOn;
}
