import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';
import type * as callers from './RawCaller.js';

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk', timeout: '3000ms'},
];
const ORGANISATIONS: readonly fleets.FleetOrganisation[] = [
  {name: 'rustavi', keys: ['k1'], ratePerSecond: 0},
];

/** How long in milliseconds a VM hangs: longer than callers wait here. */
const HANG_MS = 1000;

/** How long upstreams may go on with the work of a caller that has left, in milliseconds. */
const DEPARTURE_MS = 500;

const DEPARTURES: readonly {
  readonly name: string;
  readonly depart: (caller: callers.RawCaller) => void;
}[] = [
  {name: 'closed', depart: caller => caller.leave()},
  {name: 'reset', depart: caller => caller.reset()},
];

void test.describe('callers that leave', () => {
  for (const {name, depart} of DEPARTURES)
    void test.it(
      `ends the work on all pipelined requests of a ${name} connection`,
      async () => {
        await fleets.withFleet(async fleet => {
          fleet.configure(ROUTES, ORGANISATIONS);
          const upstream = await fleet.addUpstream('desk');
          upstream.workMs = 2500;
          await fleet.addVms(1);
          const caller = await fleet.connect(0);
          const requestIds = ['first', 'second', 'third'];
          caller.send(requestIds);
          await fleet.waitFor(() => upstream.getBusyIds().length === 3);
          depart(caller);
          const leftAtMs = performance.now();
          await fleet.waitFor(() => upstream.getBusyIds().length === 0);
          earl.expect(performance.now() - leftAtMs).toBeLessThan(DEPARTURE_MS);
        });
      },
    );

  void test.it('runs nothing for callers that left while it hung', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(ROUTES, ORGANISATIONS);
      const upstream = await fleet.addUpstream('desk');
      await fleet.addVms(1);
      const kept = await fleet.connect(0);
      kept.send(['before']);
      await fleet.waitFor(() => kept.getStatuses().length === 1);
      fleet.getProcess(0).signal('SIGSTOP');
      const fresh = await fleet.connect(0);
      kept.send(['on-a-kept-connection']);
      fresh.send(['on-a-fresh-connection', 'behind-it']);
      kept.leave();
      fresh.leave();
      await timers.setTimeout(HANG_MS);
      fleet.getProcess(0).signal('SIGCONT');
      // Its answer shows that the VM has got round to all that came before.
      await fleet.call(0, {requestId: 'after'});
      await fleet.call(0, {requestId: 'last'});
      const ran = upstream.runs.map(run => run.requestId);
      earl.expect(ran).toEqual(['before', 'after', 'last']);
    });
  });
});
