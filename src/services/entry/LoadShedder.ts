import * as decisions from '../../decisions/index.js';
import type * as base from '../base/index.js';

/** Shortest delay after which rejected callers may retry; a random jitter is added to it. */
const MIN_RETRY_MS = 400;
const JITTER_MS = 800;

/** Decides which requests one process rejects while more arrive than it has processor time for. */
export class LoadShedder {
  private readonly getNowMs: () => number;
  private readonly random: base.RandomSource;
  private state: decisions.AdmissionState;

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param random Chooses the requests that are rejected and their retry times.
   */
  constructor(getNowMs: () => number, random: base.RandomSource) {
    this.getNowMs = getNowMs;
    this.random = random;
    this.state = decisions.createAdmissionState(0);
  }

  /** The fraction of the requests that is admitted, from 0 to 1. */
  get takenPart(): number {
    return this.state.takenPart;
  }

  /**
   * Records the age that a request has when the process starts to handle it.
   *
   * @param arrivedAtMs Monotonic time of the request's arrival in milliseconds.
   */
  recordRequestAge(arrivedAtMs: number): void {
    const nowMs = this.getNowMs();
    this.state = decisions.recordQueueDelay(
      this.state,
      nowMs - arrivedAtMs,
      nowMs,
    );
  }

  /** Whether the next request is admitted; decided at random by the admitted fraction. */
  shouldAdmit(): boolean {
    return decisions.isAdmitted(this.state, this.random.draw());
  }

  /** Gets the monotonic time in milliseconds from which a rejected caller may retry. */
  getRetryAtMs(): number {
    return this.getNowMs() + MIN_RETRY_MS + JITTER_MS * this.random.draw();
  }
}
