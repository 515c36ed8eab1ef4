import * as perfHooks from 'node:perf_hooks';
import type * as clocks from './Clock.js';

/** The clock of the operating system. */
export class SystemClock implements clocks.Clock {
  /** Returns the monotonic time in milliseconds. */
  monotonicMs(): number {
    return perfHooks.performance.now();
  }

  /** Returns the time since the Unix epoch in milliseconds. */
  wallMs(): number {
    return Date.now();
  }
}
