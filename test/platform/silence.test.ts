import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

/** Bounds of the platform's pages, in milliseconds. */
const CONFIGURATION_MS = 2500;
const STABILITY_WINDOW_MS = 3000;

/** How long after the end of a silence a change is confirmed, in milliseconds. */
const CHANGE_AFTER_MS = 500;

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
];

/** Runs a test over a VM that has just called for changes. */
async function withWaitingVm(
  run: (fleet: fleets.EntryFleet) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
    await fleet.addUpstream('desk');
    await fleet.addVms(1);
    await fleet.waitForRead('op');
    await run(fleet);
  });
}

/** Makes a change a while after a silence ended; it must be in force within its bound. */
async function expectChangeInTime(
  fleet: fleets.EntryFleet,
  endedAtMs: number,
): Promise<void> {
  await timers.setTimeout(endedAtMs + CHANGE_AFTER_MS - performance.now());
  fleet.configure(ROUTES, fleets.getSoleOrganisation('k2'));
  const boundAtMs =
    endedAtMs +
    Math.max(STABILITY_WINDOW_MS, CHANGE_AFTER_MS + CONFIGURATION_MS);
  await timers.setTimeout(boundAtMs - performance.now());
  const granted = await fleet.call(0, {key: 'k2'});
  earl.expect(granted.httpStatus).toEqual(200);
  const withdrawn = await fleet.call(0, {key: 'k1'});
  earl.expect(withdrawn.httpStatus).toEqual(401);
}

void test.describe('a store that falls silent', () => {
  void test.it(
    'delays no change beyond its bound on connections that were open',
    async () => {
      await withWaitingVm(async fleet => {
        fleet.store.silenceConnections();
        await expectChangeInTime(fleet, performance.now());
      });
    },
  );

  void test.it(
    'delays no change beyond its bound after its return',
    async () => {
      await withWaitingVm(async fleet => {
        fleet.store.silenceConnections();
        fleet.store.setFault({kind: 'silence'});
        // It returns just after the VM has called once more.
        await fleet.waitForRead('op');
        fleet.store.setFault({kind: 'none'});
        await expectChangeInTime(fleet, performance.now());
      });
    },
  );

  void test.it(
    'leaves no VM certain of what is unknown beyond the bound',
    async () => {
      await withWaitingVm(async fleet => {
        fleet.store.silenceConnections();
        fleet.store.setFault({kind: 'silence'});
        await timers.setTimeout(CONFIGURATION_MS);
        const answer = await fleet.call(0, {key: 'k9'});
        earl.expect(answer.httpStatus).toEqual(503);
      });
    },
  );
});
