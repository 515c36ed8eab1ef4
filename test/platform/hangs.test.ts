import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import type * as upstreams from '../../standins/store/FakeUpstream.js';
import * as fleets from './EntryFleet.js';

/** Longer than a VM waits for an answer of the store. */
const SHORT_HANG_MS = 1200;

/** Longer than a VM waits for an answer of the store or of an upstream. */
const LONG_HANG_MS = 2000;

/** The time for which the VM runs between two hangs: too short for the store to answer in it. */
const RUN_BETWEEN_HANGS_MS = 30;

/** The delay of the store's answers. */
const STORE_DELAY_MS = 100;

const WORK_MS = 300;

/** The time for which callers wait for an answer. */
const CALLER_TIMEOUT_MS = 3000;

/** The tolerance by which the time limit passed to an upstream may exceed the time that its caller still waits. */
const DEADLINE_TOLERANCE_MS = 500;

const HANG_COUNT = 8;

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
  {prefix: '/book/', kind: 'unsafe', service: 'desk'},
  {prefix: '/wait/', kind: 'safe', service: 'desk', timeout: '5000ms'},
];

/** Suspends the process of the first VM with SIGSTOP for a time. */
async function hang(fleet: fleets.EntryFleet, hangMs: number): Promise<void> {
  fleet.getProcess(0).signal('SIGSTOP');
  await timers.setTimeout(hangMs);
  fleet.getProcess(0).signal('SIGCONT');
}

/** Runs a test with one VM and one upstream. */
async function withVm(
  run: (
    fleet: fleets.EntryFleet,
    upstream: upstreams.FakeUpstream,
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
  void test.it(
    'discovers an upstream although the VM hangs repeatedly',
    async () => {
      await withVm(async fleet => {
        const added = await fleet.addUpstream('desk');
        fleet.store.setFault({kind: 'delay', delayMs: STORE_DELAY_MS});
        fleet.store.deleteRow('servers', 'i-0');
        for (let count = 0; count < HANG_COUNT; count++) {
          await hang(fleet, SHORT_HANG_MS);
          await timers.setTimeout(RUN_BETWEEN_HANGS_MS);
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
    },
  );

  void test.it(
    'forwards an answer that arrived in time during the hang',
    async () => {
      await withVm(async (fleet, upstream) => {
        upstream.serviceMs = WORK_MS;
        const pendingAnswer = fleet.call(0, {path: '/book/x', method: 'POST'});
        await fleet.waitFor(() => upstream.arrivalCount === 1);
        await hang(fleet, LONG_HANG_MS);
        earl.expect((await pendingAnswer).httpStatus).toEqual(200);
      });
    },
  );

  void test.it(
    'passes no more time to upstreams than callers still wait',
    async () => {
      await withVm(async (fleet, upstream) => {
        await fleet.call(0);
        const pendingHang = hang(fleet, SHORT_HANG_MS);
        await fleet.call(0, {path: '/wait/x', waitMs: CALLER_TIMEOUT_MS});
        await pendingHang;
        const [, run] = upstream.runs;
        earl
          .expect(Number(run.headers['x-request-deadline']))
          .toBeLessThan(
            CALLER_TIMEOUT_MS - SHORT_HANG_MS + DEADLINE_TOLERANCE_MS,
          );
      });
    },
  );

  void test.it(
    'does not log a loss of the store if the store answered in time',
    async () => {
      await withVm(async fleet => {
        for (const table of ['op', 'servers']) {
          await fleet.waitForRead(table);
          await hang(fleet, LONG_HANG_MS);
        }
        await fleet.waitForRead('servers');
        const log = fleet.getProcess(0).getLog();
        earl.expect(log.includes('event=storeLost')).toEqual(false);
      });
    },
  );
});
