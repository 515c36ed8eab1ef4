import * as policies from './OverloadPolicy.js';

/**
 * The state of a VM's admission control under overload. A queueing delay that stays high shows that more requests
 * arrive than the VM has processor time for. Refusing some of them at once lets it serve the others in time.
 */
export interface AdmissionState {
  /** The fraction of requests that is admitted, at most 1. */
  readonly takenPart: number;

  /** Monotonic time in milliseconds from which the next request adjusts the fraction. */
  readonly adjustAtMs: number;

  /**
   * Monotonic time in milliseconds from which requests are refused if the queueing delay stays above its target;
   * undefined while the delay is within the target.
   */
  readonly refuseFromMs: number | undefined;

  /** The sum in milliseconds of the queueing delays of all requests since the last adjustment. */
  readonly queueDelaySumMs: number;

  /** The number of requests since the last adjustment. */
  readonly requestCount: number;
}

/**
 * The interval in milliseconds at which the admitted fraction is adjusted: long enough for requests to pass the queue a
 * few times, so that the effect of the previous adjustment shows.
 */
const ADJUST_INTERVAL_MS = 100;

/**
 * How long in milliseconds the queueing delay stays above its target before requests are refused: by then, a pause of
 * the process or a burst of requests is over.
 */
const OVERLOAD_DETECTION_MS = 500;

/** The factor for the admitted fraction at each adjustment while the queueing delay is above its target. */
const DECREASE_RATIO = 0.8;

/** The increase of the admitted fraction for each adjustment interval with a queueing delay within the target. */
const INCREASE_FRACTION = 0.03;

/**
 * The lower bound of the admitted fraction. Refusing a request costs about half the processor time of serving it, so
 * refusing more would leave little time for serving. Connections beyond what the VM can serve or refuse find the
 * listen queue full.
 */
const MIN_ADMITTED_FRACTION = 0.4;

/** Gets the initial state, in which all requests are admitted, at the monotonic time `nowMs`. */
export function createAdmissionState(nowMs: number): AdmissionState {
  return {
    takenPart: 1,
    adjustAtMs: nowMs + ADJUST_INTERVAL_MS,
    refuseFromMs: undefined,
    queueDelaySumMs: 0,
    requestCount: 0,
  };
}

/**
 * Records the queueing delay in milliseconds of a request whose processing begins at the monotonic time `nowMs`, and
 * adjusts the admitted fraction when that is due.
 */
export function recordQueueDelay(
  state: AdmissionState,
  queueDelayMs: number,
  nowMs: number,
  targetQueueDelayMs = policies.DEFAULT_TARGET_QUEUE_DELAY_MS,
): AdmissionState {
  const queueDelaySumMs = state.queueDelaySumMs + queueDelayMs;
  const requestCount = state.requestCount + 1;
  if (nowMs < state.adjustAtMs)
    return {...state, queueDelaySumMs, requestCount};
  if (queueDelaySumMs / requestCount <= targetQueueDelayMs) {
    // Intervals without a request count as within the target: the VM had processor time to spare.
    const intervalCount = (nowMs - state.adjustAtMs) / ADJUST_INTERVAL_MS + 1;
    const takenPart = Math.min(
      1,
      state.takenPart + INCREASE_FRACTION * intervalCount,
    );
    return {...createAdmissionState(nowMs), takenPart};
  }
  // After an interval without a request, the time until requests are refused starts again.
  const isContinuous = nowMs < state.adjustAtMs + ADJUST_INTERVAL_MS;
  const refuseFromMs =
    (isContinuous ? state.refuseFromMs : undefined) ??
    nowMs + OVERLOAD_DETECTION_MS;
  const takenPart =
    nowMs < refuseFromMs
      ? state.takenPart
      : Math.max(MIN_ADMITTED_FRACTION, state.takenPart * DECREASE_RATIO);
  return {...createAdmissionState(nowMs), takenPart, refuseFromMs};
}

/** Returns whether a request is admitted, given a random number from 0 (inclusive) to 1 (exclusive). */
export function isAdmitted(state: AdmissionState, random: number): boolean {
  return random < state.takenPart;
}
