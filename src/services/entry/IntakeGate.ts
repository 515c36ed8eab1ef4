import * as decisions from '../../decisions/index.js';
import type * as base from '../base/index.js';

/** Pause in milliseconds that refused callers are asked to make at least, and how far it is spread. */
const RETRY_MS = 400;
const RETRY_SPREAD_MS = 800;

/** Decides for one process which requests are taken on while more come in than it has processor time for. */
export class IntakeGate {
  private readonly getNowMs: () => number;
  private readonly random: base.RandomSource;
  private intake: decisions.Intake;

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param random Draws the requests that are refused.
   */
  constructor(getNowMs: () => number, random: base.RandomSource) {
    this.getNowMs = getNowMs;
    this.random = random;
    this.intake = decisions.startIntake(0);
  }

  /** The part of the requests that is taken on. */
  get takenPart(): number {
    return this.intake.takenPart;
  }

  /** Notes a request whose turn has come, and when it arrived. */
  noteTurn(arrivedAtMs: number): void {
    const nowMs = this.getNowMs();
    this.intake = decisions.noteRequestAge(
      this.intake,
      nowMs - arrivedAtMs,
      nowMs,
    );
  }

  /** Whether a request is taken on. */
  isTakenOn(): boolean {
    return decisions.isTakenOn(this.intake, this.random.draw());
  }

  /** Gets the monotonic time in milliseconds from which a refused caller may come again. */
  getRetryAtMs(): number {
    return this.getNowMs() + RETRY_MS + RETRY_SPREAD_MS * this.random.draw();
  }
}
