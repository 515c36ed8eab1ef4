import * as errors from '../../model/errors/index.js';
import * as freshness from '../freshness/index.js';
import type * as slots from './decideSlot.js';

/** How long in milliseconds a loan of a share lasts. */
export const LOAN_TERM_MS = 2000;

/** How long in milliseconds tokens handed to another process can be spent. */
export const GRANT_TERM_MS = 500;

/** Covers the drift of clocks between processes, in milliseconds. */
export const DRIFT_MARGIN_MS = 200;

/** A slot as its holder has it. */
export interface SlotTenure {
  readonly slotIndex: number;

  /** The version of the fleet map in which the slot was taken. */
  readonly takenInVersion: number;

  readonly history: slots.SlotHistory;

  /** Monotonic time in milliseconds at which it was taken. */
  readonly takenAtMs: number;

  /** Monotonic time in milliseconds at which a majority of the other holders knew it. */
  readonly knownAtMs: number | undefined;
}

/** Whether the holder counts towards majorities, so that no former holder can count as well. */
export function isTenureCounted(tenure: SlotTenure): boolean {
  switch (tenure.history) {
    case 'unused':
    case 'gone':
      return true;
    case 'silent':
      return tenure.knownAtMs !== undefined;
    default:
      return errors.throwUnreachable(tenure.history);
  }
}

/**
 * Gets the monotonic time in milliseconds from which the slot's share may be used:
 * by then its former holder, its successor and whoever borrowed it from them have stopped.
 */
export function getUsableFromMs(tenure: SlotTenure): number {
  const waitMs = freshness.FRESHNESS_TERM_MS + LOAN_TERM_MS + DRIFT_MARGIN_MS;
  switch (tenure.history) {
    case 'unused':
      return tenure.takenAtMs;
    case 'gone':
      return tenure.takenAtMs + waitMs;
    case 'silent':
      return (tenure.knownAtMs ?? Infinity) + waitMs;
    default:
      return errors.throwUnreachable(tenure.history);
  }
}
