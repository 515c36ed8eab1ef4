import * as timers from './ReadTimer.js';

/** Aborts a signal once a term is over and what came within it has been read. */
export class ReadTimeout {
  private readonly controller = new AbortController();
  private readonly timer: timers.ReadTimer;

  /** @param termMs The term in milliseconds. */
  constructor(termMs: number) {
    this.timer = new timers.ReadTimer(termMs, () =>
      this.controller.abort(
        new Error(`nothing came within ${Math.round(termMs)} ms`),
      ),
    );
  }

  /** Fires when the term is over. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Ends the waiting; the signal does not fire any more. */
  cancel(): void {
    this.timer.cancel();
  }
}
