import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';

const SEED = 20261204;

/** The pages' tolerance: one and a half times the rate, and some more. */
const OVER = 1.5;
const SLACK = 5;

/** Gets the times at which VMs with endless work send to one upstream that has just turned cold. */
function getSends(
  randoms: readonly number[],
  ratePerSecond: number,
  termMs: number,
): readonly number[] {
  const rate = ratePerSecond / randoms.length;
  const sends: number[] = [];
  for (const random of randoms) {
    let pace = decisions.startPace(random, 0);
    for (let nowMs = 0; nowMs <= termMs; nowMs += 5) {
      pace = decisions.advancePace(pace, rate, nowMs);
      if (!decisions.isPaceOpen(pace)) continue;
      pace = decisions.spendPace(pace);
      sends.push(nowMs);
    }
  }
  return sends.sort((a, b) => a - b);
}

function getMostInSecond(sends: readonly number[]): number {
  let most = 0;
  let from = 0;
  for (const [index, sentAtMs] of sends.entries()) {
    while (sends[from] <= sentAtMs - 1000) from += 1;
    most = Math.max(most, index - from + 1);
  }
  return most;
}

void test.describe('ColdPace', () => {
  void test.it('holds the bound of every second over 7, 37 and 300 VMs', () => {
    for (const vmCount of [7, 37, 300])
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(
            fastCheck.double({
              min: 0,
              max: 1,
              maxExcluded: true,
              noNaN: true,
              noDefaultInfinity: true,
            }),
            {minLength: vmCount, maxLength: vmCount},
          ),
          fastCheck.constantFrom(3.4, 6.6, 11),
          (drawn, ratePerSecond) => {
            // Drawn values are spread evenly, as the random source of a VM does.
            const randoms = drawn.map(
              (value, index) => (index + value) / vmCount,
            );
            const most = getMostInSecond(
              getSends(randoms, ratePerSecond, 3000),
            );
            earl.expect(most).toBeLessThanOrEqual(ratePerSecond * OVER + SLACK);
          },
        ),
        {seed: SEED, numRuns: vmCount > 100 ? 10 : 100},
      );
  });
});
