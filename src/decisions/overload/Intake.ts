/**
 * How much of what comes in a VM takes on. Requests that go on being old when their turn comes show that more comes in
 * than the VM has processor time for; refusing some at once keeps the others in time.
 */
export interface Intake {
  /** The part of the requests that is taken on, up to 1. */
  readonly takenPart: number;

  /** Monotonic time in milliseconds at which the part is worked out anew. */
  readonly adjustAtMs: number;

  /** Monotonic time in milliseconds from which requests are refused if they go on being old, or nothing. */
  readonly refuseFromMs: number | undefined;

  /** The ages in milliseconds of the requests whose turn came since it was worked out, added up. */
  readonly agesMs: number;
  readonly requestCount: number;
}

/** How often in milliseconds the part is worked out: a few round trips of the queue that it steers. */
const ADJUST_INTERVAL_MS = 100;

/** The mean age in milliseconds that is aimed at: a third of the shortest objective of the first deployments. */
const TARGET_AGE_MS = 100;

/** How long in milliseconds requests go on being old before some are refused: a pause or a burst is over by then. */
const PATIENCE_MS = 500;

/** What the part is multiplied with while requests are too old. */
const DECREASE = 0.8;

/** What is added to the part while they are not. */
const INCREASE = 0.03;

/**
 * The least part. A refusal costs about half of what a request costs that is served, so that refusing more would
 * leave little time for serving; what neither is possible for finds the listen queue full.
 */
const MIN_TAKEN_PART = 0.4;

/** Gets the intake of a new process. */
export function startIntake(nowMs: number): Intake {
  return {
    takenPart: 1,
    adjustAtMs: nowMs + ADJUST_INTERVAL_MS,
    refuseFromMs: undefined,
    agesMs: 0,
    requestCount: 0,
  };
}

/** Notes how old in milliseconds a request was when its turn came. */
export function noteRequestAge(
  intake: Intake,
  ageMs: number,
  nowMs: number,
): Intake {
  const agesMs = intake.agesMs + ageMs;
  const requestCount = intake.requestCount + 1;
  if (nowMs < intake.adjustAtMs) return {...intake, agesMs, requestCount};
  if (agesMs / requestCount <= TARGET_AGE_MS) {
    // Intervals without a request had time to spare.
    const intervals = (nowMs - intake.adjustAtMs) / ADJUST_INTERVAL_MS + 1;
    const takenPart = Math.min(1, intake.takenPart + INCREASE * intervals);
    return {...startIntake(nowMs), takenPart};
  }
  // After an interval without a request the waiting begins anew.
  const isSteady = nowMs < intake.adjustAtMs + ADJUST_INTERVAL_MS;
  const refuseFromMs =
    (isSteady ? intake.refuseFromMs : undefined) ?? nowMs + PATIENCE_MS;
  const takenPart =
    nowMs < refuseFromMs
      ? intake.takenPart
      : Math.max(MIN_TAKEN_PART, intake.takenPart * DECREASE);
  return {...startIntake(nowMs), takenPart, refuseFromMs};
}

/** Whether a request is taken on; `random` is from 0 up to 1. */
export function isTakenOn(intake: Intake, random: number): boolean {
  return random < intake.takenPart;
}
