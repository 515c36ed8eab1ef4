import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const LONG_MS = 20_000;

/** When a stopping VM no longer takes new connections (3 s) has passed, but not yet its grace period (6 s). */
const LATE_IN_GRACE_MS = 3400;

void test.describe('a planned stop', {timeout: 60_000}, () => {
  void test.it('takes no request that its end could cut off', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(
        [
          {prefix: '/look/', kind: 'safe', service: 'desk', timeout: '20s'},
          {prefix: '/act/', kind: 'unsafe', service: 'desk', timeout: '20s'},
        ],
        fleets.getSoleOrganisation('k1'),
      );
      const upstream = await fleet.addUpstream('desk');
      await fleet.addVms(1);
      const hasRun = (requestId: string) =>
        upstream.runs.some(run => run.requestId === requestId);
      const act = (requestId: string, waitMs: number) =>
        fleet.call(0, {method: 'POST', path: '/act/x', requestId, waitMs});
      // Connections that stay in use until late in the grace period.
      const callers = [await fleet.connect(0), await fleet.connect(0)];
      const [quickCaller, lateCaller] = callers;
      quickCaller.send(['slow1'], '/look/x?ms=4200', 'k1', LONG_MS);
      lateCaller.send(['slow2'], '/look/x?ms=4200', 'k1', LONG_MS);
      await fleet.waitFor(() => hasRun('slow1') && hasRun('slow2'));

      fleet.getProcess(0).signal('SIGTERM');
      await fleet.waitFor(() =>
        fleet.getProcess(0).getLog().includes('event=daemonStopping'),
      );
      const refused = await act('long', LONG_MS);
      earl.expect(refused.httpStatus).toEqual(503);
      earl.expect(refused.headers['retry-after']).toEqual('0.000');
      earl.expect((await act('short', 1500)).httpStatus).toEqual(200);
      const repeatable = await fleet.call(0, {waitMs: LONG_MS});
      earl.expect(repeatable.httpStatus).toEqual(200);

      // Its answer is complete before that of the request in front of it.
      quickCaller.send(['quick'], '/look/x?ms=20', 'k1', LONG_MS);
      await timers.setTimeout(LATE_IN_GRACE_MS);
      lateCaller.send(['late'], '/look/x?ms=10000', 'k1', LONG_MS);
      earl.expect(await fleet.getProcess(0).waitForExit()).toEqual(0);
      earl.expect(quickCaller.getStatuses()).toEqual([200, 200]);
      earl.expect(lateCaller.getStatuses()).toEqual([200, 503]);
      earl
        .expect(['long', 'short', 'quick', 'late'].filter(hasRun))
        .toEqual(['short', 'quick']);
      for (const caller of callers) caller.close();
    });
  });
});
