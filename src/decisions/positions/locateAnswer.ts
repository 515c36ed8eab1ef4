import * as errors from '../../model/errors/index.js';
import type * as entry from '../../model/entry/index.js';
import * as positions from './comparePositions.js';

/** The newest timeline that the store's answers have named. */
export interface KnownTimeline {
  readonly timeline: entry.StoreTimeline;

  /** Monotonic time in milliseconds at which an answer first named the timeline. */
  readonly sinceMs: number;
}

/** The state before the first answer. */
export const INITIAL_TIMELINE: KnownTimeline = {
  timeline: positions.UNNUMBERED_TIMELINE,
  sinceMs: -Infinity,
};

/** To which timeline an answer of the store belongs. */
export type AnswerLocation =
  /** The newest known one. */
  | {readonly kind: 'current'}
  /** One that no answer has named before. */
  | {readonly kind: 'begun'; readonly timeline: entry.StoreTimeline}
  /** One that ended while the call was in progress. */
  | {readonly kind: 'ended'}
  /** The answer does not tell, or contradicts earlier ones; it is taken for one of the newest known timeline. */
  | {readonly kind: 'doubtful'; readonly reason: string};

/**
 * Decides to which timeline an answer belongs.
 *
 * @param sentAtMs The monotonic time in milliseconds at which the call was sent.
 */
export function locateAnswer(
  known: KnownTimeline,
  report: entry.TimelineReport,
  sentAtMs: number,
): AnswerLocation {
  const isCrossing = sentAtMs < known.sinceMs;
  switch (report.kind) {
    case 'noAnswer':
      return {kind: 'current'};
    case 'missing':
      if (known.timeline.kind === 'unnumbered') return {kind: 'current'};
      return isCrossing
        ? {kind: 'ended'}
        : {kind: 'doubtful', reason: 'no timeline is named'};
    case 'unreadable':
      return isCrossing
        ? {kind: 'ended'}
        : {kind: 'doubtful', reason: `unreadable: ${report.text}`};
    case 'numbered':
      switch (positions.compareTimelines(report, known.timeline)) {
        case 'newer':
          return {kind: 'begun', timeline: report};
        case 'equal':
          return {kind: 'current'};
        case 'older':
          return isCrossing
            ? {kind: 'ended'}
            : {kind: 'doubtful', reason: `goes back to ${report.number}`};
      }
      break;
    default:
      return errors.throwUnreachable(report);
  }
}
