import type * as entry from '../../model/entry/index.js';
import * as messages from './DispatchMessage.js';

/** Part of a request's remaining time that is reserved for returning the answer to the caller. */
export const RETURN_RESERVE_MS = 20;

/**
 * How much longer than an upstream's time its answer is awaited, at least: an upstream that is at work until then answers
 * itself, and the answer takes two ways between regions.
 */
const MIN_ANSWER_MARGIN_MS = 150;

/** How much longer than the upstream's time its answer is awaited, in milliseconds. */
export interface AnswerMargin {
  /** Counted from when the request is sent: the upstream's time begins then, too. */
  readonly afterSendMs: number;

  /** The bound on the whole, with the time that it took to get a connection. */
  readonly totalMs: number;
}

/**
 * Gets how much longer than the upstream's time an answer is awaited. The upstream's time counts from
 * the earliest moment at which the request may have arrived, so that its caller may still wait for as long as the request
 * was read late. Nobody waits beyond that: answers behind this one would miss their callers.
 *
 * @param deadlineMs The monotonic time in milliseconds from which the upstream's time was counted back.
 */
export function getAnswerMargin(
  {arrivedAtMs, readAtMs, callerDeadlineMs}: entry.EntryRequestHead,
  deadlineMs: number,
): AnswerMargin {
  const readDelayMs = readAtMs - arrivedAtMs;
  const callerMarginMs = callerDeadlineMs + readDelayMs - deadlineMs;
  const overtimeMs = Math.min(readDelayMs, messages.MAX_OVERTIME_MS);
  const wantedMs = Math.max(
    MIN_ANSWER_MARGIN_MS,
    RETURN_RESERVE_MS + overtimeMs,
  );
  return {
    afterSendMs: Math.min(callerMarginMs, wantedMs),
    totalMs: Math.min(
      callerMarginMs,
      RETURN_RESERVE_MS + messages.MAX_OVERTIME_MS,
    ),
  };
}

/** Gets the monotonic time in milliseconds by which an upstream must have answered a request. */
export function getFinishByMs({deadlineMs}: messages.EntryDispatch): number {
  return deadlineMs - RETURN_RESERVE_MS;
}
