import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import type * as stores from '../../standins/store/FakeStore.js';
import * as fleets from './EntryFleet.js';

/** The platform's bound on the time until VMs apply a configuration. */
const MAX_CONFIGURATION_DELAY_MS = 2500;

/** The platform's bound on the time until VMs stop sending requests to an upstream that has left. */
const MAX_DRAIN_DELAY_MS = 2500;

/** The store's table in which the entry VMs register. */
const MEMBER_TABLE = 'entry-vms';

/** The store's table with the entries of the upstreams. */
const UPSTREAM_TABLE = 'servers';

const VM_COUNT = 4;
const VM_WITHOUT_STORE = 1;

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
];

const FAULTS: readonly stores.StoreFault[] = [
  {kind: 'refuse', httpStatus: 503},
  {kind: 'refuse', httpStatus: 429},
  {kind: 'reset'},
  {kind: 'silence'},
];

/** Runs a test with a fleet in which the store fails for one VM and works for the others. */
async function withVmWithoutStore(
  fault: stores.StoreFault,
  run: (fleet: fleets.EntryFleet) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
    await fleet.addUpstream('desk');
    await fleet.addUpstream('desk', 'irbid-a');
    await fleet.addVms(VM_COUNT);
    await fleet.waitFor(
      async () => (await fleet.steer(VM_WITHOUT_STORE, 'irbid-a')).length === 2,
    );
    fleet.store.setFault(fault, fleet.getVmHost(VM_WITHOUT_STORE));
    await run(fleet);
  });
}

/** Changes the key, and checks that the VM without the store applies the change within the bound. */
async function expectChangeInTime(fleet: fleets.EntryFleet): Promise<void> {
  fleet.configure(ROUTES, fleets.getSoleOrganisation('k2'));
  await timers.setTimeout(MAX_CONFIGURATION_DELAY_MS);
  const granted = await fleet.call(VM_WITHOUT_STORE, {key: 'k2'});
  earl.expect(granted.httpStatus).toEqual(200);
  const withdrawn = await fleet.call(VM_WITHOUT_STORE, {key: 'k1'});
  earl.expect(withdrawn.httpStatus === 200).toEqual(false);
}

void test.describe('a VM for which the store fails', () => {
  void test.it(
    'applies changes in time even if it has never read the rows of other VMs',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
        await fleet.addUpstream('desk');
        await fleet.addVms(1);
        await fleet.waitFor(
          () => fleet.store.getKeys(MEMBER_TABLE).length === 1,
        );
        fleet.store.setFault(
          {kind: 'refuseReads', table: MEMBER_TABLE},
          fleet.getVmHost(VM_WITHOUT_STORE),
        );
        await fleet.addVms(1);
        await fleet.waitFor(
          () => fleet.store.getKeys(MEMBER_TABLE).length === 2,
        );
        fleet.store.setFault(
          {kind: 'refuse', httpStatus: 503},
          fleet.getVmHost(VM_WITHOUT_STORE),
        );
        await expectChangeInTime(fleet);
      });
    },
  );

  void test.it(
    'sends no requests to an upstream removed just before a refused read',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
        const leaving = await fleet.addUpstream('desk');
        await fleet.addVms(1);
        await fleet.waitForRead(UPSTREAM_TABLE);
        const removedAtMs = performance.now();
        fleet.store.deleteRow(UPSTREAM_TABLE, 'i-0');
        fleet.store.setFault({kind: 'refuseReads', table: UPSTREAM_TABLE});
        await fleet.waitForRead(UPSTREAM_TABLE);
        fleet.store.setFault({kind: 'none'});
        await timers.setTimeout(
          removedAtMs + MAX_DRAIN_DELAY_MS - performance.now(),
        );
        const {arrivalCount} = leaving;
        for (let object = 0; object < 20; object++)
          await fleet.call(0, {object: String(object)});
        earl.expect(leaving.arrivalCount).toEqual(arrivalCount);
      });
    },
  );

  for (const fault of FAULTS) {
    const name =
      fault.kind === 'refuse' ? `status ${fault.httpStatus}` : fault.kind;

    void test.it(`applies changes in time (${name})`, async () => {
      await withVmWithoutStore(fault, async fleet => {
        await expectChangeInTime(fleet);
      });
    });

    void test.it(
      `sends no requests to removed upstreams (${name})`,
      async () => {
        await withVmWithoutStore(fault, async fleet => {
          const {upstream, address} =
            await fleet.startUnregisteredUpstream('i-leaving');
          fleet.store.put(UPSTREAM_TABLE, 'i-leaving', {
            ...upstream.getEntry('desk', 'irbid-a'),
            Address: address,
          });
          await fleet.waitFor(async () => {
            for (let object = 0; object < 20; object++)
              await fleet.call(VM_WITHOUT_STORE, {object: String(object)});
            return upstream.arrivalCount > 0;
          });
          fleet.store.deleteRow(UPSTREAM_TABLE, 'i-leaving');
          await timers.setTimeout(MAX_DRAIN_DELAY_MS);
          const {arrivalCount} = upstream;
          for (let object = 0; object < 20; object++)
            await fleet.call(VM_WITHOUT_STORE, {object: String(object)});
          earl.expect(upstream.arrivalCount).toEqual(arrivalCount);
          upstream.close();
        });
      },
    );
  }
});
