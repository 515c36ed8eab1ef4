import type * as entry from '../../model/entry/index.js';
import type * as logs from '../logs/LogMessage.js';
import type * as exchanges from './CallerExchange.js';

/** The end of a request without its upstream's answer. */
export interface RequestEnd {
  readonly head: entry.EntryRequestHead;
  readonly exchange: exchanges.CallerExchange;
  readonly phase: entry.RequestPhase;

  /** Monotonic time in milliseconds at which the process began to stop; undefined while it runs. */
  readonly stoppingSinceMs: number | undefined;
}

/**
 * Gets the log fields that tell how far a request had come and how much of its time had passed.
 *
 * @param nowMs Monotonic time in milliseconds.
 */
export function getEndFields(
  {head, exchange, phase, stoppingSinceMs}: RequestEnd,
  nowMs: number,
): logs.LogFields {
  return {
    phase,
    ageMs: Math.round(nowMs - head.arrivedAtMs),
    readDelayMs: Math.round(head.readAtMs - head.arrivedAtMs),
    callerLeftMs: Math.round(head.callerDeadlineMs - nowMs),
    last: exchange.isLastRequest,
    ...(stoppingSinceMs === undefined
      ? {}
      : {sinceStopMs: Math.round(nowMs - stoppingSinceMs)}),
  };
}
