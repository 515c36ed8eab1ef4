import type * as entry from '../../model/entry/index.js';

/**
 * The fraction of `maxConfigurationDelayMs`, the bound on applying a configuration, for which one call to the store
 * waits for changes of the operators' rows.
 */
const FOLLOW_WAIT_FRACTION = 0.4;

/**
 * The fraction of `maxConfigurationDelayMs` after which that call times out. The rest of the bound must suffice to
 * detect a silent connection and to read all rows over a new one.
 */
const FOLLOW_TIMEOUT_FRACTION = 0.65;

/** The interval between two reads of the upstreams' rows, as a fraction of `maxDrainDelayMs`. */
const UPSTREAM_POLL_FRACTION = 0.45;

/** The age of the upstreams' rows from which a read that replaces them is logged, as a fraction of `maxDrainDelayMs`. */
const LATE_ROWS_FRACTION = 0.8;

/** How soon changed rows must take effect, and how often upstreams renew their rows. */
export type KnowledgeBounds = Pick<
  entry.EntryBounds,
  'maxDrainDelayMs' | 'maxConfigurationDelayMs' | 'heartbeatIntervalMs'
>;

/** Gets the milliseconds for which one call waits for changes of the operators' rows. */
export function getFollowWaitMs(bounds: KnowledgeBounds): number {
  return Math.round(bounds.maxConfigurationDelayMs * FOLLOW_WAIT_FRACTION);
}

/** Gets the milliseconds after which that call times out. */
export function getFollowTimeoutMs(bounds: KnowledgeBounds): number {
  return bounds.maxConfigurationDelayMs * FOLLOW_TIMEOUT_FRACTION;
}

/** Gets the milliseconds between two reads of the upstreams' rows. */
export function getUpstreamPollIntervalMs(bounds: KnowledgeBounds): number {
  return bounds.maxDrainDelayMs * UPSTREAM_POLL_FRACTION;
}

/** Gets the age in milliseconds from which the upstreams' rows count as late. */
export function getLateRowsMs(bounds: KnowledgeBounds): number {
  return bounds.maxDrainDelayMs * LATE_ROWS_FRACTION;
}
