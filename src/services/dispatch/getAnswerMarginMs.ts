import type * as entry from '../../model/entry/index.js';

/** Part of a request's remaining time that is reserved for returning the answer to the caller. */
export const RETURN_RESERVE_MS = 20;

/**
 * How much longer than an upstream's time its answer is awaited, at least: an upstream that is at work until then answers
 * itself, and the answer takes two ways between regions.
 */
const MIN_ANSWER_MARGIN_MS = 150;

/** How much longer than its time limit a request may take whose upstream does not answer. */
const MAX_OVERTIME_MS = 450;

/**
 * Gets how much longer than the upstream's time an answer is awaited, in milliseconds. The upstream's time counts from
 * the earliest moment at which the request may have arrived, so that its caller may still wait for as long as the request
 * was read late. Nobody waits beyond that: answers behind this one would miss their callers.
 *
 * @param deadlineMs The monotonic time in milliseconds from which the upstream's time was counted back.
 */
export function getAnswerMarginMs(
  {arrivedAtMs, readAtMs, callerDeadlineMs}: entry.EntryRequestHead,
  deadlineMs: number,
): number {
  const readDelayMs = readAtMs - arrivedAtMs;
  const overtimeMs = Math.min(readDelayMs, MAX_OVERTIME_MS);
  return Math.min(
    callerDeadlineMs + readDelayMs - deadlineMs,
    Math.max(MIN_ANSWER_MARGIN_MS, RETURN_RESERVE_MS + overtimeMs),
  );
}
