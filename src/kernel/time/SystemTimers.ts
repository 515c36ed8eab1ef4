import type * as timers from './Timers.js';

/** Timers on the event loop of the process. */
export class SystemTimers implements timers.Timers {
  /** Runs an action repeatedly, every `intervalMs` milliseconds. */
  every(intervalMs: number, action: () => void): timers.CancelTimer {
    const timer = setInterval(action, intervalMs);
    return () => clearInterval(timer);
  }

  /** Runs an action once, after `delayMs` milliseconds. */
  after(delayMs: number, action: () => void): timers.CancelTimer {
    const timer = setTimeout(action, delayMs);
    return () => clearTimeout(timer);
  }
}
