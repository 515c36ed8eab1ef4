import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as positions from '../positions/index.js';
import type * as followed from './FollowedReader.js';

/** What becomes of rows that a reader announced. */
export type RowsDecision =
  | {readonly kind: 'adopt'}
  /** The rows are those in force, which are now known to have been current at `currentAtMs`. */
  | {readonly kind: 'renew'; readonly currentAtMs: number}
  /** The rows are no newer than those in force. */
  | {readonly kind: 'ignore'}
  /** The rows contradict those in force: the reader passes on old rows as new ones. */
  | {readonly kind: 'refuse'; readonly reason: string};

/** The position of the rows in force, and the monotonic time in milliseconds at which they were current. */
export interface HeldRows {
  /** Undefined before the first rows. */
  readonly position: entry.StorePosition | undefined;
  readonly currentAtMs: number;
}

/**
 * The heartbeat intervals for which rows of one version are renewed. With a whole interval, a VM whose readers pass on
 * old rows would read the store itself only after the bound on leaving upstreams.
 */
const MAX_RENEWAL_HEARTBEATS = 0.5;

/** The heartbeat intervals after which an unchanged version contradicts that upstreams are running. */
const MAX_UNCHANGED_HEARTBEATS = 2;

/**
 * Decides about the upstreams' rows of a reader. The version is that of the whole table, which every upstream raises in
 * each heartbeat interval: while upstreams are known, rows of an equal version are believed only for a part of it.
 *
 * @param held The rows in force; `positionSinceMs` is the time at which rows of their position were first current.
 */
export function decideUpstreamsClaim(
  held: HeldRows & {readonly positionSinceMs: number},
  {rows, currentAtMs}: followed.RowsClaim<entry.UpstreamRows>,
  heartbeatIntervalMs: number,
): RowsDecision {
  if (currentAtMs <= held.currentAtMs) return {kind: 'ignore'};
  if (held.position === undefined) return {kind: 'adopt'};
  const order = positions.comparePositions(rows.position, held.position);
  switch (order) {
    case 'newer':
      return {kind: 'adopt'};
    case 'older':
      return {kind: 'refuse', reason: 'the position goes back'};
    case 'equal':
      break;
    default:
      return errors.throwUnreachable(order);
  }
  if (rows.upstreams.length === 0) return {kind: 'renew', currentAtMs};
  const believedAtMs = Math.min(
    currentAtMs,
    held.positionSinceMs + MAX_RENEWAL_HEARTBEATS * heartbeatIntervalMs,
  );
  if (believedAtMs > held.currentAtMs)
    return {kind: 'renew', currentAtMs: believedAtMs};
  const unchangedMs = currentAtMs - held.positionSinceMs;
  return unchangedMs > MAX_UNCHANGED_HEARTBEATS * heartbeatIntervalMs
    ? {kind: 'refuse', reason: 'the version stands still'}
    : {kind: 'ignore'};
}

/**
 * Decides about the operators' rows of a reader. A reader that follows changes keeps the version of the last one, so
 * that equal rows may have a lower version than in a snapshot.
 */
export function decideOperatorsClaim(
  held: Omit<HeldRows, 'position'> & {
    readonly rows: entry.OperatorRows | undefined;
  },
  {rows, currentAtMs}: followed.RowsClaim<entry.OperatorRows>,
): RowsDecision {
  if (held.rows === undefined) return {kind: 'adopt'};
  if (currentAtMs <= held.currentAtMs) return {kind: 'ignore'};
  const order = positions.compareTimelines(
    rows.position.timeline,
    held.rows.position.timeline,
  );
  switch (order) {
    case 'newer':
      return {kind: 'adopt'};
    case 'older':
      return {
        kind: 'refuse',
        reason: 'the rows are of a history that has ended',
      };
    case 'equal':
      break;
    default:
      return errors.throwUnreachable(order);
  }
  const isEqual =
    rows.configuration.version === held.rows.configuration.version &&
    [...rows.evacuatedDomains].sort().join() ===
      [...held.rows.evacuatedDomains].sort().join();
  if (isEqual) return {kind: 'renew', currentAtMs};
  const isNewer =
    rows.position.version > held.rows.position.version &&
    rows.configuration.version >= held.rows.configuration.version;
  return isNewer
    ? {kind: 'adopt'}
    : {kind: 'refuse', reason: 'the position goes back'};
}
