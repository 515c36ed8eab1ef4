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

/** The time for which the VM hangs; the callers of that test disconnect within it. */
const HANG_MS = 1000;

/** The longest time between the end of a caller's connection and the end of its requests at the upstreams. */
const MAX_CANCEL_DELAY_MS = 500;

const DISCONNECTS: readonly {
  readonly name: string;
  readonly disconnect: (caller: callers.RawCaller) => void;
}[] = [
  {name: 'closed', disconnect: caller => caller.close()},
  {name: 'reset', disconnect: caller => caller.reset()},
];

void test.describe('callers that disconnect', () => {
  for (const {name, disconnect} of DISCONNECTS)
    void test.it(
      `cancels all pipelined requests of a ${name} connection`,
      async () => {
        await fleets.withFleet(async fleet => {
          fleet.configure(ROUTES, ORGANISATIONS);
          const upstream = await fleet.addUpstream('desk');
          upstream.serviceMs = 2500;
          await fleet.addVms(1);
          const caller = await fleet.connect(0);
          const requestIds = ['first', 'second', 'third'];
          caller.send(requestIds);
          await fleet.waitFor(
            () => upstream.getActiveRequestIds().length === 3,
          );
          disconnect(caller);
          const disconnectedAtMs = performance.now();
          await fleet.waitFor(
            () => upstream.getActiveRequestIds().length === 0,
          );
          earl
            .expect(performance.now() - disconnectedAtMs)
            .toBeLessThan(MAX_CANCEL_DELAY_MS);
        });
      },
    );

  void test.it(
    'executes no request of callers that disconnected while the VM hung',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(ROUTES, ORGANISATIONS);
        const upstream = await fleet.addUpstream('desk');
        await fleet.addVms(1);
        const openConnection = await fleet.connect(0);
        openConnection.send(['before']);
        await fleet.waitFor(() => openConnection.getStatuses().length === 1);
        fleet.getProcess(0).signal('SIGSTOP');
        const newConnection = await fleet.connect(0);
        openConnection.send(['on-a-kept-connection']);
        newConnection.send(['on-a-fresh-connection', 'behind-it']);
        openConnection.close();
        newConnection.close();
        await timers.setTimeout(HANG_MS);
        fleet.getProcess(0).signal('SIGCONT');
        // The VM has handled all earlier input once it answers these requests.
        await fleet.call(0, {requestId: 'after'});
        await fleet.call(0, {requestId: 'last'});
        const executedIds = upstream.runs.map(run => run.requestId);
        earl.expect(executedIds).toEqual(['before', 'after', 'last']);
      });
    },
  );
});
