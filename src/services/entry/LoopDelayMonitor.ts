import * as httpService from '../http/index.js';

/**
 * How often the delay of the event loop is measured. A delay may begin at any time before the tick that it holds up, so
 * that requests may have arrived up to one interval before the time that is taken for their arrival.
 */
export const LOOP_TICK_INTERVAL_MS = 100;

/**
 * Measures the event loop delay by how late its timer fires. Data that the process reads after a delay may have arrived
 * at any time since the delay began.
 */
export class LoopDelayMonitor {
  private readonly barrier = new httpService.ReadBarrier();
  private nextTickAtMs: number;
  private delayedSinceMs: number | undefined;

  /** @param nowMs Monotonic time in milliseconds; the first tick is due one interval later. */
  constructor(nowMs: number) {
    this.nextTickAtMs = nowMs + LOOP_TICK_INTERVAL_MS;
  }

  /** Records a tick of the timer. Returns how late it fired in milliseconds. */
  recordTick(nowMs: number): number {
    const delayMs = Math.max(0, nowMs - this.nextTickAtMs);
    if (delayMs > 0) {
      this.delayedSinceMs = this.nextTickAtMs;
      // The poll phase after the timers reads data that arrived during the delay on open connections; the poll phase
      // after that reads it on the connections that were accepted in the first one.
      void this.barrier.wait().then(() => {
        this.delayedSinceMs = undefined;
      });
    }
    this.nextTickAtMs = nowMs + LOOP_TICK_INTERVAL_MS;
    return delayMs;
  }

  /** Gets the earliest monotonic time in milliseconds at which data that is read now may have arrived. */
  getEarliestArrivalMs(nowMs: number): number {
    return Math.min(nowMs, this.nextTickAtMs, this.delayedSinceMs ?? nowMs);
  }
}
