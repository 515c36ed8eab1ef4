import * as pureRand from 'pure-rand';

const VALUE_COUNT = 2 ** 30;

/** Generates pseudorandom numbers from 0 to below 1. The seed determines the sequence. */
export class RandomSource {
  private readonly generator: pureRand.RandomGenerator;

  /** @param seed Determines the sequence of numbers. */
  constructor(seed: number) {
    this.generator = pureRand.xoroshiro128plus(seed);
  }

  /** Returns the next number, from 0 to below 1. */
  draw(): number {
    const value = pureRand.unsafeUniformIntDistribution(
      0,
      VALUE_COUNT - 1,
      this.generator,
    );
    return value / VALUE_COUNT;
  }
}
