import type * as logs from './RequestLog.js';

/** A planned stop of a VM. */
export interface PlannedStop {
  /** The index of the VM. */
  readonly vm: number;

  /** Wall-clock time in milliseconds of the SIGTERM. */
  readonly signalledAtMs: number;
}

/** How long after SIGTERM callers may still send requests that take longer than the grace period. */
const LAST_LONG_REQUEST_MS = 3000;

/** The beginning of the last sixth of the grace period. */
const GRACE_END_MS = 5000;

/**
 * Whether the platform excuses the loss of a request: its time limit was over, or the end of a grace period came while
 * its upstream was still at work.
 */
export function isExcusedLoss(
  lost: logs.LostRequest,
  stops: readonly PlannedStop[],
): boolean {
  const {answer, endedAtMs = Infinity, closedAtMs = Infinity} = lost;
  // A VM that answers itself breaks the upstream's work off; otherwise the close of the connection ends the request.
  const lostAtMs = answer?.isComplete ? endedAtMs : closedAtMs;
  if (lostAtMs >= lost.deadlineMs) return true;
  return stops.some(
    ({vm, signalledAtMs}) =>
      vm === lost.vm &&
      signalledAtMs <= lostAtMs &&
      lost.sentAtMs <= signalledAtMs + LAST_LONG_REQUEST_MS &&
      endedAtMs >= signalledAtMs + GRACE_END_MS,
  );
}
