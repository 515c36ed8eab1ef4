/** Whether a VM is busy, and the use of its processors on which that is based. */
export interface BusyState {
  readonly isBusy: boolean;

  /** The part of the VM's processor time that is used, averaged. */
  readonly utilisationRatio: number;
}

/** The state of a process that has just started. */
export const IDLE_STATE: BusyState = {isBusy: false, utilisationRatio: 0};

/** The time in milliseconds over which the utilisation is averaged: longer than callers keep a steering answer. */
const AVERAGING_MS = 5000;

/** Above this part of its processor time, queues grow quickly. */
const BUSY_RATIO = 0.85;

/**
 * Below this part a busy VM is no longer busy: less than `BUSY_RATIO` times `BUSY_WEIGHT_FACTOR`, so that the callers
 * that a busy VM loses don't end the state that keeps them away.
 */
const NORMAL_RATIO = 0.55;

/** Updates the state by the processor time that was used in the last `elapsedMs`. */
export function updateBusyState(
  state: BusyState,
  usedMs: number,
  elapsedMs: number,
  processorCount: number,
): BusyState {
  if (elapsedMs <= 0) return state;
  const latestRatio = usedMs / (elapsedMs * processorCount);
  const weight = Math.min(1, elapsedMs / AVERAGING_MS);
  const utilisationRatio =
    state.utilisationRatio + (latestRatio - state.utilisationRatio) * weight;
  return {
    isBusy: utilisationRatio > (state.isBusy ? NORMAL_RATIO : BUSY_RATIO),
    utilisationRatio,
  };
}
