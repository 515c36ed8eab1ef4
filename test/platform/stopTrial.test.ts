import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';
import * as trials from './StopTrial.js';

const SEED = 1;

/** Fewer requests would show little. */
const MIN_REQUEST_COUNT = 500;

void test.describe('planned stops in turn', {timeout: 60_000}, () => {
  void test.it(`lose no request with seed ${SEED}`, async () => {
    await fleets.withFleet(async fleet => {
      const report = await new trials.StopTrial(fleet, SEED).run();
      earl.expect(report.requestCount).toBeGreaterThan(MIN_REQUEST_COUNT);
      earl.expect(report.lost).toEqual([]);
    });
  });
});
