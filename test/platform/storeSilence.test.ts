import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

/** The platform's bound on the time until VMs apply a configuration. */
const MAX_CONFIGURATION_DELAY_MS = 2500;

/** The platform's bound on the time after a store failure until changes must be applied in time again. */
const STABILITY_WINDOW_MS = 3000;

/** The time between the end of the store's silence and a configuration change. */
const CHANGE_DELAY_MS = 500;

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
];

/** Runs a test with one VM that has just sent the store a request to wait for changes. */
async function withVmAwaitingChanges(
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

/** Changes the key after the end of the store's silence, and checks that the VM applies the change within the bound. */
async function expectChangeInTime(
  fleet: fleets.EntryFleet,
  silenceEndedAtMs: number,
): Promise<void> {
  await timers.setTimeout(
    silenceEndedAtMs + CHANGE_DELAY_MS - performance.now(),
  );
  fleet.configure(ROUTES, fleets.getSoleOrganisation('k2'));
  const inForceDeadlineMs =
    silenceEndedAtMs +
    Math.max(STABILITY_WINDOW_MS, CHANGE_DELAY_MS + MAX_CONFIGURATION_DELAY_MS);
  await timers.setTimeout(inForceDeadlineMs - performance.now());
  const granted = await fleet.call(0, {key: 'k2'});
  earl.expect(granted.httpStatus).toEqual(200);
  const withdrawn = await fleet.call(0, {key: 'k1'});
  earl.expect(withdrawn.httpStatus).toEqual(401);
}

void test.describe('a store that stops answering', () => {
  void test.it(
    'does not delay changes beyond the bound when only open connections fail',
    async () => {
      await withVmAwaitingChanges(async fleet => {
        fleet.store.silenceConnections();
        await expectChangeInTime(fleet, performance.now());
      });
    },
  );

  void test.it(
    'does not delay changes beyond the bound once it answers again',
    async () => {
      await withVmAwaitingChanges(async fleet => {
        fleet.store.silenceConnections();
        fleet.store.setFault({kind: 'silence'});
        // The store answers again just after the VM has sent its next request.
        await fleet.waitForRead('op');
        fleet.store.setFault({kind: 'none'});
        await expectChangeInTime(fleet, performance.now());
      });
    },
  );

  void test.it(
    'makes VMs answer 503 instead of 401 for unknown keys after the bound',
    async () => {
      await withVmAwaitingChanges(async fleet => {
        fleet.store.silenceConnections();
        fleet.store.setFault({kind: 'silence'});
        await timers.setTimeout(MAX_CONFIGURATION_DELAY_MS);
        const answer = await fleet.call(0, {key: 'k9'});
        earl.expect(answer.httpStatus).toEqual(503);
      });
    },
  );
});
