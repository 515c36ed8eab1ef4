import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';

const SEED = 20261204;
const ROUNDING = 1e-6;

/** Gets what VMs that all know the same of each other may admit. */
function getAllowances(
  windowCount: number,
  demands: readonly number[],
  usedCount: number,
): readonly decisions.LimitAllowance[] {
  return demands.map(ownDemandPerSecond =>
    decisions.getLimitAllowance({
      windowCount,
      limitPerSecond: windowCount / 6,
      memberCount: demands.length,
      completeUses: demands.map(demandPerSecond => ({
        demandPerSecond,
        admittedCount: usedCount / demands.length,
        leavingCount: 0,
      })),
      youngUses: [],
      ownDemandPerSecond,
    }),
  );
}

void test.describe('getLimitAllowance', () => {
  void test.it('leaves the window its remainder, whatever the demands', () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.double({min: 1, max: 5000, noNaN: true}),
        fastCheck.array(fastCheck.double({min: 0, max: 2000, noNaN: true}), {
          minLength: 1,
          maxLength: 40,
        }),
        fastCheck.double({min: 0, max: 6000, noNaN: true}),
        (windowCount, demands, usedCount) => {
          const allowances = getAllowances(windowCount, demands, usedCount);
          const own = allowances.reduce((sum, next) => sum + next.ownCount, 0);
          const remainder = Math.max(0, windowCount - usedCount);
          earl
            .expect(own + allowances[0].lentCount)
            .toBeLessThanOrEqual(remainder * (1 + ROUNDING));
        },
      ),
      {seed: SEED, numRuns: 3000},
    );
  });

  void test.it('gives more to a VM whose callers ask for more', () => {
    const [most, least] = getAllowances(500, [90, 1, 1, 1], 100);
    earl.expect(most.ownCount).toBeGreaterThan(least.ownCount);
  });

  void test.it('leaves an equal part to each VM whose use is unknown', () => {
    const use = {demandPerSecond: 100, admittedCount: 99, leavingCount: 0};
    const allowance = decisions.getLimitAllowance({
      windowCount: 700,
      limitPerSecond: 100,
      memberCount: 7,
      completeUses: [use, use, use, use],
      youngUses: [{demandPerSecond: 1, admittedCount: 1, leavingCount: 0}],
      ownDemandPerSecond: 100,
    });
    earl
      .expect(allowance.ownCount * 4 + allowance.lentCount)
      .toBeLessThanOrEqual(4);
  });

  void test.it('lets a surge on all VMs in step by step', () => {
    // 37 VMs of 6.4 requests a second each, a window of 3,551: all ask for eight times as much at once.
    const uses = Array.from({length: 37}, () => ({
      demandPerSecond: 6.4,
      admittedCount: 32,
      leavingCount: 6,
    }));
    const allowance = decisions.getLimitAllowance({
      windowCount: 3551,
      limitPerSecond: 535,
      memberCount: 37,
      completeUses: uses,
      youngUses: [],
      ownDemandPerSecond: 6.4,
    });
    const atOnce = 37 * allowance.ownCount + allowance.lentCount;
    // Two rounds pass before all is known, beside what the window holds and what is replaced in it.
    earl.expect(2 * atOnce + 37 * 32).toBeLessThan(3551);
  });
});
