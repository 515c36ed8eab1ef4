import * as timers from './ReadTimer.js';

/** Aborts a signal after a timeout, once all data that arrived before its end has been read. */
export class ReadTimeout {
  private readonly controller = new AbortController();
  private readonly termMs: number;
  private readonly lastDeadlineMs: number;
  private timer: timers.ReadTimer;

  /**
   * @param termMs The timeout in milliseconds.
   * @param maxTermMs How long in milliseconds the timeout can be extended, counted from now; by default not at all.
   */
  constructor(termMs: number, maxTermMs = termMs) {
    this.termMs = termMs;
    this.lastDeadlineMs = performance.now() + maxTermMs;
    this.timer = this.createTimer(termMs);
  }

  /** Aborted when the timeout has expired. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Restarts the timeout after progress, as far as it can be extended. */
  extend(): void {
    const remainingMs = this.lastDeadlineMs - performance.now();
    this.timer.cancel();
    this.timer = this.createTimer(Math.min(this.termMs, remainingMs));
  }

  /** Cancels the timeout, so that the signal is not aborted. */
  cancel(): void {
    this.timer.cancel();
  }

  private createTimer(termMs: number): timers.ReadTimer {
    return new timers.ReadTimer(termMs, () =>
      this.controller.abort(
        new Error(`timed out after ${Math.round(termMs)} ms`),
      ),
    );
  }
}
