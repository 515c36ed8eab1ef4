import * as httpService from '../http/index.js';

/** How often in milliseconds the delay of the event loop is measured. */
export const LOOP_TICK_MS = 250;

/**
 * Knows how far the process is behind, by how late its timers fire. What it reads may have arrived at any moment since
 * it fell behind.
 */
export class LoopDelay {
  private readonly barrier = new httpService.ReadBarrier();
  private dueAtMs: number;
  private behindSinceMs: number | undefined;

  /** @param nowMs Monotonic time in milliseconds at which the first tick is a whole interval away. */
  constructor(nowMs: number) {
    this.dueAtMs = nowMs + LOOP_TICK_MS;
  }

  /** Notes a tick; gives how late in milliseconds it came. */
  noteTick(nowMs: number): number {
    const delayMs = Math.max(0, nowMs - this.dueAtMs);
    if (delayMs > 0) {
      this.behindSinceMs = this.dueAtMs;
      // The round of reading after the timers reads what arrived meanwhile; the next one does so on new connections.
      void this.barrier.wait().then(() => {
        this.behindSinceMs = undefined;
      });
    }
    this.dueAtMs = nowMs + LOOP_TICK_MS;
    return delayMs;
  }

  /** Gets the earliest time at which what is read now may have arrived, as far as that is known. */
  getArrivalMs(nowMs: number): number {
    return Math.min(nowMs, this.dueAtMs, this.behindSinceMs ?? nowMs);
  }
}
