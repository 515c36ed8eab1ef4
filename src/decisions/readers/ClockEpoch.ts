/**
 * A span of time in which the monotonic clock of a process has run without a break. The clock stands still while a VM
 * is suspended, so that times before and after a suspension cannot be compared with another VM's clock.
 */
export interface ClockEpoch {
  /** Increases with each suspension. */
  readonly epoch: number;
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/** Forward jumps of the wall clock up to this many milliseconds are corrections, not suspensions. */
const MAX_CORRECTION_MS = 100;

/** The epoch after a look at both clocks, and for how long the VM was suspended before. */
export interface ClockCheck {
  readonly clock: ClockEpoch;

  /** The suspension in milliseconds; 0 if there was none. */
  readonly suspendedMs: number;
}

/**
 * Compares the monotonic clock with the wall clock, which runs on while a VM is suspended. A wall clock that is set
 * forward looks like a suspension, which only makes rows count as older than they are.
 */
export function checkClock(
  previous: ClockEpoch,
  monotonicMs: number,
  wallMs: number,
): ClockCheck {
  const jumpMs =
    wallMs - previous.wallMs - (monotonicMs - previous.monotonicMs);
  const isSuspension = jumpMs > MAX_CORRECTION_MS;
  return {
    clock: {
      epoch: previous.epoch + (isSuspension ? 1 : 0),
      monotonicMs,
      wallMs,
    },
    suspendedMs: isSuspension ? jumpMs : 0,
  };
}
