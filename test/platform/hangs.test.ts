import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import type * as upstreams from '../../standins/store/PublishedUpstream.js';
import * as fleets from './EntryFleet.js';

/** Longer than the store's answers are waited for; the long one, longer than upstreams' answers are, too. */
const SHORT_HANG_MS = 1200;
const LONG_HANG_MS = 2000;

/** How long the VM runs between two hangs: too short for an answer of the store within it. */
const RUN_MS = 30;
const STORE_DELAY_MS = 100;

const WORK_MS = 300;

/** How long a caller waits, and how much more than is left of it an upstream may be handed. */
const CALLER_WAIT_MS = 3000;
const EXTRA_MS = 500;

const HANG_COUNT = 8;

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
  {prefix: '/book/', kind: 'unsafe', service: 'desk'},
  {prefix: '/wait/', kind: 'safe', service: 'desk', timeout: '5000ms'},
];

/** Stops a VM's process for a while. */
async function hang(fleet: fleets.EntryFleet, hangMs: number): Promise<void> {
  fleet.getProcess(0).signal('SIGSTOP');
  await timers.setTimeout(hangMs);
  fleet.getProcess(0).signal('SIGCONT');
}

/** Runs a test over one VM and an upstream. */
async function withVm(
  run: (
    fleet: fleets.EntryFleet,
    upstream: upstreams.PublishedUpstream,
  ) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
    const upstream = await fleet.addUpstream('desk');
    await fleet.addVms(1);
    await run(fleet, upstream);
  });
}

void test.describe('a VM that hangs', () => {
  void test.it('learns of an upstream between hangs', async () => {
    await withVm(async fleet => {
      const added = await fleet.addUpstream('desk');
      fleet.store.setFault({kind: 'delay', delayMs: STORE_DELAY_MS});
      fleet.store.drop('servers', 'i-0');
      for (let count = 0; count < HANG_COUNT; count++) {
        await hang(fleet, SHORT_HANG_MS);
        await timers.setTimeout(RUN_MS);
      }
      const answers = await Promise.all(
        [...Array(10).keys()].map(object =>
          fleet.call(0, {object: String(object)}),
        ),
      );
      earl
        .expect(answers.map(answer => answer.httpStatus))
        .toEqual(Array(10).fill(200));
      earl.expect(added.arrivalCount).toEqual(10);
    });
  });

  void test.it('passes on an answer that came in time', async () => {
    await withVm(async (fleet, upstream) => {
      upstream.workMs = WORK_MS;
      const called = fleet.call(0, {path: '/book/x', method: 'POST'});
      await fleet.waitFor(() => upstream.arrivalCount === 1);
      await hang(fleet, LONG_HANG_MS);
      earl.expect((await called).httpStatus).toEqual(200);
    });
  });

  void test.it(
    'hands upstreams no more time than callers have left',
    async () => {
      await withVm(async (fleet, upstream) => {
        await fleet.call(0);
        const stopped = hang(fleet, SHORT_HANG_MS);
        await fleet.call(0, {path: '/wait/x', waitMs: CALLER_WAIT_MS});
        await stopped;
        const [, run] = upstream.runs;
        earl
          .expect(Number(run.headers['x-request-deadline']))
          .toBeLessThan(CALLER_WAIT_MS - SHORT_HANG_MS + EXTRA_MS);
      });
    },
  );

  void test.it('takes no store for lost that answered in time', async () => {
    await withVm(async fleet => {
      for (const table of ['op', 'servers']) {
        await fleet.waitForRead(table);
        await hang(fleet, LONG_HANG_MS);
      }
      await fleet.waitForRead('servers');
      const log = fleet.getProcess(0).getLog();
      earl.expect(log.includes('event=storeLost')).toEqual(false);
    });
  });
});
