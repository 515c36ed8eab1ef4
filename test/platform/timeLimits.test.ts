import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const TIME_LIMIT_MS = 700;

/** The longest time after the time limit until the final answer. */
const MAX_ANSWER_DELAY_MS = 500;

void test.describe('time limits of routes', () => {
  void test.it('end requests whose body does not arrive', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(
        [
          {
            prefix: '/act/',
            kind: 'unsafe',
            service: 'desk',
            timeout: `${TIME_LIMIT_MS}ms`,
          },
        ],
        [{name: 'rustavi', keys: ['k1'], ratePerSecond: 0}],
      );
      const upstream = await fleet.addUpstream('desk');
      await fleet.addVms(1);
      const caller = await fleet.connect(0);
      const sentAtMs = performance.now();
      caller.sendHead('late-body', '/act/x', 100);
      await fleet.waitFor(() => caller.getStatuses().length > 0);
      earl
        .expect(performance.now() - sentAtMs)
        .toBeLessThan(TIME_LIMIT_MS + MAX_ANSWER_DELAY_MS);
      earl.expect(caller.getStatuses()).toEqual([408]);
      earl.expect(upstream.runs.length).toEqual(0);
    });
  });
});
