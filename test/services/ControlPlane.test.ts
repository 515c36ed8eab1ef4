import * as test from 'node:test';
import * as earl from 'earl';
import * as chaos from '../support/virtual/ChaosSimulation.js';

const RUN_MS = 60_000;
const SEEDS: readonly number[] = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];

void test.describe('a fleet of seven control planes under random faults', () => {
  for (const seed of SEEDS)
    void test.it(`violates no invariant, seed ${seed}`, async () => {
      const report = await new chaos.ChaosSimulation(seed).run(RUN_MS);
      earl.expect(report.violations).toEqual([]);
      earl.expect(report.admittedCount).toBeGreaterThan(0);
      earl.expect(report.acceptedCount).toBeGreaterThan(0);
    });
});
