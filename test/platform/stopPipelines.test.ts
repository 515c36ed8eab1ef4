import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const CALLER_TIMEOUT_MS = 20_000;

/** The time from SIGTERM to the end of the process, at the latest. */
const GRACE_PERIOD_MS = 6000;

/** Longer than the grace period. */
const SLOW_PATH = '/look/x?ms=10000';
const FAST_PATH = '/look/x?ms=50';

void test.describe('a pipeline in a planned stop', {timeout: 60_000}, () => {
  void test.it(
    'delivers the answer behind a request that the end of the grace period cuts off',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(
          [{prefix: '/look/', kind: 'safe', service: 'desk', timeout: '20s'}],
          fleets.getSoleOrganisation('k1'),
        );
        const upstream = await fleet.addUpstream('desk');
        await fleet.addVms(1);
        const caller = await fleet.connect(0);
        const stoppedAtMs = performance.now();
        await fleet.stop(0);
        caller.send(['slow'], SLOW_PATH, 'k1', CALLER_TIMEOUT_MS);
        caller.send(['behind'], FAST_PATH, 'k1', CALLER_TIMEOUT_MS);
        await fleet.waitFor(
          () => upstream.getEndedAtMs('behind') !== undefined,
        );
        earl.expect(await fleet.getProcess(0).waitForExit()).toEqual(0);
        earl
          .expect(performance.now() - stoppedAtMs)
          .toBeLessThan(GRACE_PERIOD_MS);
        await fleet.waitFor(() => caller.isClosed);
        earl.expect(caller.getServedIds()).toEqual(['behind']);
      });
    },
  );
});
