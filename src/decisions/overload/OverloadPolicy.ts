import * as errors from '../../model/errors/index.js';
import type * as entry from '../../model/entry/index.js';

/**
 * The default target for the mean queueing delay in milliseconds: a third of the shortest latency objective of the first
 * deployments.
 */
export const DEFAULT_TARGET_QUEUE_DELAY_MS = 100;

/** The target for the mean queueing delay, as a part of the shortest latency objective. */
const TARGET_DELAY_PART = 1 / 3;

/**
 * Gets the target for the mean queueing delay in milliseconds. The lower bound of the admitted fraction does not depend on
 * it: where a full listen queue delays requests beyond the target, a bound that falls with longer objectives would refuse
 * requests that could be served in time.
 */
export function getTargetQueueDelayMs(
  admission: entry.AdmissionPolicy,
  {routes}: Pick<entry.EntryConfiguration, 'routes'>,
): number {
  switch (admission.kind) {
    case 'equal':
      return DEFAULT_TARGET_QUEUE_DELAY_MS;
    case 'byPriority': {
      const objectives = routes
        .map(({objectiveMs}) => objectiveMs)
        .filter(objectiveMs => objectiveMs > 0);
      return objectives.length === 0
        ? DEFAULT_TARGET_QUEUE_DELAY_MS
        : Math.min(...objectives) * TARGET_DELAY_PART;
    }
    default:
      return errors.throwUnreachable(admission);
  }
}
