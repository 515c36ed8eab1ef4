import * as errors from '../../model/errors/index.js';
import * as freshness from '../freshness/index.js';
import type * as slots from './decideSlot.js';

/** How long in milliseconds a process lends its share of an organisation's limits to another process. */
export const LOAN_TERM_MS = 2000;

/** How long in milliseconds tokens that were granted to another process can be spent. */
export const GRANT_TERM_MS = 500;

/** Margin in milliseconds for the drift between the clocks of two processes. */
export const CLOCK_DRIFT_MARGIN_MS = 200;

/** The tenure of a slot by this process. */
export interface SlotTenure {
  readonly slotIndex: number;

  /** The version of the fleet map in which the slot was taken. */
  readonly takenInVersion: number;

  readonly history: slots.SlotHistory;

  /** Monotonic time in milliseconds at which the slot was taken. */
  readonly takenAtMs: number;

  /**
   * Monotonic time in milliseconds at which a majority of the other slot holders had the map in which the slot was
   * taken; undefined until then.
   */
  readonly majorityConfirmedAtMs: number | undefined;
}

/** Returns whether the holder counts towards majorities: only once the former holder of the slot can't count, too. */
export function isTenureCounted(tenure: SlotTenure): boolean {
  switch (tenure.history) {
    case 'unused':
    case 'gone':
      return true;
    case 'silent':
      return tenure.majorityConfirmedAtMs !== undefined;
    default:
      return errors.throwUnreachable(tenure.history);
  }
}

/**
 * Gets the monotonic time in milliseconds from which the slot's share may be used. By then the former holder, its
 * successor and any process that borrowed the share from them have stopped using it. Infinity if the former holder is
 * silent and no majority of the other slot holders has the new map yet.
 */
export function getUsableFromMs(tenure: SlotTenure): number {
  const waitMs =
    freshness.FRESHNESS_TERM_MS + LOAN_TERM_MS + CLOCK_DRIFT_MARGIN_MS;
  switch (tenure.history) {
    case 'unused':
      return tenure.takenAtMs;
    case 'gone':
      return tenure.takenAtMs + waitMs;
    case 'silent':
      return (tenure.majorityConfirmedAtMs ?? Infinity) + waitMs;
    default:
      return errors.throwUnreachable(tenure.history);
  }
}
