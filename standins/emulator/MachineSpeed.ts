import * as pureRand from 'pure-rand';

/** How often and how much the machine of an upstream works more slowly than usual. */
export interface SpeedTraits {
  /** The fraction of the time in which the machine is slow. */
  readonly slowFraction: number;

  /** The factor by which work takes longer meanwhile. */
  readonly slowdown: number;

  /** The mean time in milliseconds between two changes of the state. */
  readonly changeMs: number;
}

interface Period {
  readonly endsAtMs: number;
  readonly slowdown: number;
}

const RANDOM_RANGE = 2 ** 30;

/** The varying speed of a machine, drawn from a seed. */
export class MachineSpeed {
  private readonly traits: SpeedTraits;
  private readonly randomGenerator: pureRand.RandomGenerator;
  private readonly periods: Period[] = [];

  /** @param seed Seeds the times of the changes and the states. */
  constructor(traits: SpeedTraits, seed: number) {
    this.traits = traits;
    this.randomGenerator = pureRand.xoroshiro128plus(seed);
  }

  /** Gets the factor by which work takes longer than usual at a virtual time. */
  getSlowdown(atMs: number): number {
    return this.getPeriod(atMs).slowdown;
  }

  /** Gets the virtual time at which work ends that takes `workMs` at the usual speed. */
  getEndMs(startMs: number, workMs: number): number {
    let atMs = startMs;
    let remainingMs = workMs;
    for (;;) {
      const {endsAtMs, slowdown} = this.getPeriod(atMs);
      const doneMs = (endsAtMs - atMs) / slowdown;
      if (doneMs >= remainingMs) return atMs + remainingMs * slowdown;
      remainingMs -= doneMs;
      atMs = endsAtMs;
    }
  }

  private getPeriod(atMs: number): Period {
    for (;;) {
      const last = this.periods[this.periods.length - 1];
      if (last !== undefined && last.endsAtMs > atMs) break;
      this.addPeriod(last?.endsAtMs ?? 0);
    }
    let index = this.periods.length - 1;
    while (index > 0 && this.periods[index - 1].endsAtMs > atMs) index -= 1;
    return this.periods[index];
  }

  private addPeriod(startsAtMs: number): void {
    const {slowFraction, slowdown, changeMs} = this.traits;
    const lengthMs = -Math.log(1 - this.getRandom()) * changeMs + 1;
    this.periods.push({
      endsAtMs: startsAtMs + lengthMs,
      slowdown: this.getRandom() < slowFraction ? slowdown : 1,
    });
  }

  private getRandom(): number {
    const value = pureRand.unsafeUniformIntDistribution(
      0,
      RANDOM_RANGE - 1,
      this.randomGenerator,
    );
    return value / RANDOM_RANGE;
  }
}
