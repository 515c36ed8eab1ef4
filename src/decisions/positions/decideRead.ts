import type * as entry from '../../model/entry/index.js';
import * as positions from './comparePositions.js';

/** The position of the rows that a VM holds. */
export interface HeldPosition {
  readonly position: entry.StorePosition;

  /** Monotonic time in milliseconds at which the VM learnt that the store was at this position. */
  readonly knownAtMs: number;
}

/** What becomes of rows that were read from the store. */
export type ReadDecision =
  /** The rows are those held, or newer ones of the same history. */
  | {readonly kind: 'advance'}
  /** The store has returned from an older copy; the rows are of its new history. */
  | {readonly kind: 'replace'}
  /** Newer rows have arrived from another VM since the read was sent. */
  | {readonly kind: 'overtaken'};

/**
 * Decides about a snapshot that was read from the store. The store's answers are linearizable: a read that was sent
 * after a position became known is at that position or a later one, so that a lower one belongs to another history.
 *
 * @param held What the VM holds; undefined before its first rows.
 * @param sentAtMs The monotonic time in milliseconds at which the read was sent.
 */
export function decideRead(
  held: HeldPosition | undefined,
  read: entry.StorePosition,
  sentAtMs: number,
): ReadDecision {
  if (held === undefined) return {kind: 'advance'};
  switch (positions.compareTimelines(read.timeline, held.position.timeline)) {
    case 'newer':
      return {kind: 'replace'};
    case 'equal':
      if (read.version >= held.position.version) return {kind: 'advance'};
      break;
    case 'older':
      break;
  }
  return {kind: sentAtMs < held.knownAtMs ? 'overtaken' : 'replace'};
}
