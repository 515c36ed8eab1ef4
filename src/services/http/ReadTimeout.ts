import * as timers from './ReadTimer.js';

/** Aborts a signal after a timeout, once all data that arrived before its end has been read. */
export class ReadTimeout {
  private readonly controller = new AbortController();
  private readonly timer: timers.ReadTimer;

  /** @param termMs The timeout in milliseconds. */
  constructor(termMs: number) {
    this.timer = new timers.ReadTimer(termMs, () =>
      this.controller.abort(
        new Error(`timed out after ${Math.round(termMs)} ms`),
      ),
    );
  }

  /** Aborted when the timeout has expired. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Cancels the timeout, so that the signal is not aborted. */
  cancel(): void {
    this.timer.cancel();
  }
}
