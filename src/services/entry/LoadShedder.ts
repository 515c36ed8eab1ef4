import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import type * as base from '../base/index.js';

/** Shortest delay after which rejected callers may retry; a random jitter is added to it. */
const MIN_RETRY_MS = 400;
const JITTER_MS = 800;

/** Decides which requests one process rejects while more arrive than it has processor time for. */
export class LoadShedder {
  private readonly getNowMs: () => number;
  private readonly random: base.RandomSource;
  private state: decisions.AdmissionState;
  private admission: entry.AdmissionPolicy = {kind: 'equal'};
  private targetQueueDelayMs = decisions.DEFAULT_TARGET_QUEUE_DELAY_MS;
  private mix: decisions.PriorityMix = new Map();

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param random Chooses the requests that are rejected and their retry times.
   */
  constructor(getNowMs: () => number, random: base.RandomSource) {
    this.getNowMs = getNowMs;
    this.random = random;
    this.state = decisions.createAdmissionState(0);
  }

  /** Replaces the policy and the configuration that the thresholds are derived from. */
  setConfiguration(
    admission: entry.AdmissionPolicy,
    configuration: Pick<entry.EntryConfiguration, 'routes'>,
  ): void {
    this.admission = admission;
    this.targetQueueDelayMs = decisions.getTargetQueueDelayMs(
      admission,
      configuration,
    );
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
      this.targetQueueDelayMs,
    );
  }

  /** Whether the next request, of the given priority, is admitted; decided at random by the admitted fraction. */
  shouldAdmit(priority: number): boolean {
    switch (this.admission.kind) {
      case 'equal':
        return decisions.isAdmitted(this.state, this.random.draw());
      case 'byPriority':
        this.mix = decisions.addPriority(this.mix, priority);
        return (
          this.random.draw() <
          decisions.getAdmittedPart(this.mix, priority, this.takenPart)
        );
      default:
        return errors.throwUnreachable(this.admission);
    }
  }

  /**
   * Gets the monotonic time in milliseconds from which a rejected caller may retry.
   *
   * @param callerDeadlineMs Monotonic time in milliseconds until which the caller waits; undefined when unknown.
   */
  getRetryAtMs(callerDeadlineMs = Infinity): number {
    const nowMs = this.getNowMs();
    const retryAtMs = nowMs + MIN_RETRY_MS + JITTER_MS * this.random.draw();
    switch (this.admission.kind) {
      case 'equal':
        return retryAtMs;
      case 'byPriority':
        return Math.min(
          retryAtMs,
          decisions.getLatestRetryMs(callerDeadlineMs, nowMs),
        );
      default:
        return errors.throwUnreachable(this.admission);
    }
  }
}
