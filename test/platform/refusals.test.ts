import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import type * as stores from '../../standins/store/PublishedStore.js';
import * as fleets from './EntryFleet.js';

/** Bounds of the platform's pages, in milliseconds: for changes, and for upstreams that leave. */
const CONFIGURATION_MS = 2500;
const DRAIN_MS = 2500;

/** The table in which VMs register. */
const MEMBERS = 'entry-vms';

/** The table of the upstreams' entries. */
const UPSTREAMS = 'servers';

const VM_COUNT = 4;
const REFUSED_VM = 1;

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
];

const FAULTS: readonly stores.StoreFault[] = [
  {kind: 'refuse', httpStatus: 503},
  {kind: 'refuse', httpStatus: 429},
  {kind: 'reset'},
  {kind: 'silence'},
];

/** Runs a test over a fleet in which the store turns one VM away and serves the others. */
async function withRefusedVm(
  fault: stores.StoreFault,
  run: (fleet: fleets.EntryFleet) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
    await fleet.addUpstream('desk');
    await fleet.addUpstream('desk', 'irbid-a');
    await fleet.addVms(VM_COUNT);
    await fleet.waitFor(
      async () => (await fleet.steer(REFUSED_VM, 'irbid-a')).length === 2,
    );
    fleet.store.setFault(fault, fleet.getVmHost(REFUSED_VM));
    await run(fleet);
  });
}

/** Makes a change, which must be in force at the VM that is turned away within its bound. */
async function expectChangeInTime(fleet: fleets.EntryFleet): Promise<void> {
  fleet.configure(ROUTES, fleets.getSoleOrganisation('k2'));
  await timers.setTimeout(CONFIGURATION_MS);
  const granted = await fleet.call(REFUSED_VM, {key: 'k2'});
  earl.expect(granted.httpStatus).toEqual(200);
  const withdrawn = await fleet.call(REFUSED_VM, {key: 'k1'});
  earl.expect(withdrawn.httpStatus === 200).toEqual(false);
}

void test.describe('a VM that the store turns away', () => {
  void test.it(
    'has changes in force in time, though it has read of no other VM',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
        await fleet.addUpstream('desk');
        await fleet.addVms(1);
        await fleet.waitFor(() => fleet.store.getKeys(MEMBERS).length === 1);
        fleet.store.setFault(
          {kind: 'refuseReads', table: MEMBERS},
          fleet.getVmHost(REFUSED_VM),
        );
        await fleet.addVms(1);
        await fleet.waitFor(() => fleet.store.getKeys(MEMBERS).length === 2);
        fleet.store.setFault(
          {kind: 'refuse', httpStatus: 503},
          fleet.getVmHost(REFUSED_VM),
        );
        await expectChangeInTime(fleet);
      });
    },
  );

  void test.it(
    'sends nothing to an upstream that left around one refused reading',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(ROUTES, fleets.getSoleOrganisation('k1'));
        const leaving = await fleet.addUpstream('desk');
        await fleet.addVms(1);
        await fleet.waitForRead(UPSTREAMS);
        const leftAtMs = performance.now();
        fleet.store.drop(UPSTREAMS, 'i-0');
        fleet.store.setFault({kind: 'refuseReads', table: UPSTREAMS});
        await fleet.waitForRead(UPSTREAMS);
        fleet.store.setFault({kind: 'none'});
        await timers.setTimeout(leftAtMs + DRAIN_MS - performance.now());
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

    void test.it(`has changes in force in time (${name})`, async () => {
      await withRefusedVm(fault, async fleet => {
        await expectChangeInTime(fleet);
      });
    });

    void test.it(
      `sends nothing to upstreams that have left (${name})`,
      async () => {
        await withRefusedVm(fault, async fleet => {
          const {upstream, address} = await fleet.openUpstream('i-leaving');
          fleet.store.put(UPSTREAMS, 'i-leaving', {
            ...upstream.getEntry('desk', 'irbid-a'),
            Address: address,
          });
          await fleet.waitFor(async () => {
            for (let object = 0; object < 20; object++)
              await fleet.call(REFUSED_VM, {object: String(object)});
            return upstream.arrivalCount > 0;
          });
          fleet.store.drop(UPSTREAMS, 'i-leaving');
          await timers.setTimeout(DRAIN_MS);
          const {arrivalCount} = upstream;
          for (let object = 0; object < 20; object++)
            await fleet.call(REFUSED_VM, {object: String(object)});
          earl.expect(upstream.arrivalCount).toEqual(arrivalCount);
          upstream.close();
        });
      },
    );
  }
});
