/** Cancels a timer. */
export type CancelTimer = () => void;

/** Runs actions after a delay or periodically. */
export interface Timers {
  /** Runs an action repeatedly, every `intervalMs` milliseconds. */
  every(intervalMs: number, action: () => void): CancelTimer;

  /** Runs an action once, after `delayMs` milliseconds. */
  after(delayMs: number, action: () => void): CancelTimer;
}
