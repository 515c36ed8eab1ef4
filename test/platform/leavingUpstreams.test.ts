import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import type * as upstreams from '../../standins/store/FakeUpstream.js';
import * as fleets from './EntryFleet.js';

/** The platform's bound on the time until VMs stop sending requests to an upstream that leaves. */
const MAX_DRAIN_DELAY_MS = 2500;

/** The store's table with the entries of the upstreams. */
const UPSTREAM_TABLE = 'servers';

const SERVICE = 'desk';

/** How long an answer takes over a slow link, and how long the store takes to execute a read. */
const SLOW_LINK_DELAY_MS = 600;
const EXECUTION_MS = 50;

/** How long the whole answer takes over a very slow link: longer than the store's timeout. */
const SLOW_ANSWER_MS = 1500;

const CALL_COUNT = 20;
const UNAVAILABLE = {kind: 'refuse', httpStatus: 503} as const;

/** Runs a test with VMs, an upstream that stays and one that leaves. */
async function withLeavingUpstream(
  vmCount: number,
  run: (
    fleet: fleets.EntryFleet,
    leaving: upstreams.FakeUpstream,
  ) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(
      [{prefix: '/look/', kind: 'safe', service: SERVICE}],
      fleets.getSoleOrganisation('k1'),
    );
    await fleet.addUpstream(SERVICE);
    const leaving = await fleet.addUpstream(SERVICE);
    await fleet.addVms(vmCount);
    for (let vmIndex = 0; vmIndex < vmCount; vmIndex++)
      earl
        .expect((await countArrivals(fleet, vmIndex, leaving)) > 0)
        .toEqual(true);
    await run(fleet, leaving);
  });
}

/** Sends requests for many objects to a VM; returns how many reached the upstream. */
async function countArrivals(
  fleet: fleets.EntryFleet,
  vmIndex: number,
  upstream: upstreams.FakeUpstream,
): Promise<number> {
  const before = upstream.arrivalCount;
  for (let object = 0; object < CALL_COUNT; object++)
    await fleet.call(vmIndex, {object: String(object)});
  return upstream.arrivalCount - before;
}

function putEntry(
  fleet: fleets.EntryFleet,
  upstream: upstreams.FakeUpstream,
  state: 'ready' | 'draining',
  sequence: number,
): void {
  const entry = upstream.getEntry(SERVICE, 'amman-a', state);
  fleet.store.put(UPSTREAM_TABLE, upstream.upstreamId, {
    ...entry,
    Status: {State: state, Sequence: sequence, ColdRemaining: '0ms'},
  });
}

async function waitForLog(
  fleet: fleets.EntryFleet,
  vmIndex: number,
  text: string,
): Promise<void> {
  await fleet.waitFor(() => fleet.getProcess(vmIndex).getLog().includes(text));
}

void test.describe('an upstream that leaves gets no requests', () => {
  void test.it(
    'from a VM that knew, while the store fails for one VM after the other',
    async () => {
      await withLeavingUpstream(2, async (fleet, leaving) => {
        const [knowing, ignorant] = [0, 1];
        fleet.store.setFault(UNAVAILABLE, fleet.getVmHost(ignorant));
        await waitForLog(fleet, ignorant, 'storeLost');
        putEntry(fleet, leaving, 'draining', 2);
        await waitForLog(fleet, knowing, 'state=draining');
        fleet.store.setFault(UNAVAILABLE, fleet.getVmHost(knowing));
        fleet.store.deleteRow(UPSTREAM_TABLE, leaving.upstreamId);
        await waitForLog(fleet, knowing, 'storeLost');
        await timers.setTimeout(MAX_DRAIN_DELAY_MS);
        earl.expect(await countArrivals(fleet, knowing, leaving)).toEqual(0);
        fleet.store.setFault({kind: 'none'}, fleet.getVmHost(ignorant));
        await waitForLog(fleet, ignorant, 'storeRegained');
        for (let round = 0; round < 4; round++) {
          await timers.setTimeout(500);
          earl.expect(await countArrivals(fleet, knowing, leaving)).toEqual(0);
        }
      });
    },
  );

  // Guards against a write of the upstream that the store applied only after its later one.
  void test.it(
    'although an earlier write of its row takes effect late',
    async () => {
      await withLeavingUpstream(1, async (fleet, leaving) => {
        putEntry(fleet, leaving, 'draining', 5);
        await waitForLog(fleet, 0, 'state=draining');
        putEntry(fleet, leaving, 'ready', 4);
        await timers.setTimeout(MAX_DRAIN_DELAY_MS);
        earl.expect(await countArrivals(fleet, 0, leaving)).toEqual(0);
      });
    },
  );

  // Guards against a heartbeat that the store applied only after the row was removed.
  void test.it('although its row comes back after its removal', async () => {
    await withLeavingUpstream(1, async (fleet, leaving) => {
      putEntry(fleet, leaving, 'ready', 5);
      await fleet.waitForRead(UPSTREAM_TABLE);
      await fleet.waitForRead(UPSTREAM_TABLE);
      fleet.store.deleteRow(UPSTREAM_TABLE, leaving.upstreamId);
      await waitForLog(
        fleet,
        0,
        `upstreamRemoved upstream=${leaving.upstreamId}`,
      );
      putEntry(fleet, leaving, 'ready', 6);
      await timers.setTimeout(MAX_DRAIN_DELAY_MS);
      earl.expect(await countArrivals(fleet, 0, leaving)).toEqual(0);
    });
  });

  void test.it('until its row is renewed after it came back', async () => {
    await withLeavingUpstream(1, async (fleet, leaving) => {
      putEntry(fleet, leaving, 'ready', 5);
      fleet.store.deleteRow(UPSTREAM_TABLE, leaving.upstreamId);
      await waitForLog(
        fleet,
        0,
        `upstreamRemoved upstream=${leaving.upstreamId}`,
      );
      putEntry(fleet, leaving, 'ready', 6);
      await fleet.waitForRead(UPSTREAM_TABLE);
      putEntry(fleet, leaving, 'ready', 7);
      await timers.setTimeout(MAX_DRAIN_DELAY_MS);
      earl.expect((await countArrivals(fleet, 0, leaving)) > 0).toEqual(true);
    });
  });

  // Guards against reads whose own duration adds twice to the time until a removal is known.
  void test.it('although the link to the store is slow', async () => {
    await withLeavingUpstream(1, async (fleet, leaving) => {
      fleet.store.setFault({
        kind: 'delayAnswers',
        delayMs: SLOW_LINK_DELAY_MS,
      });
      await timers.setTimeout(2 * MAX_DRAIN_DELAY_MS);
      await fleet.waitForRead(UPSTREAM_TABLE);
      // The read has been executed, and its answer is on its way.
      await timers.setTimeout(EXECUTION_MS);
      fleet.store.deleteRow(UPSTREAM_TABLE, leaving.upstreamId);
      const removedAtMs = performance.now();
      await waitForLog(
        fleet,
        0,
        `upstreamRemoved upstream=${leaving.upstreamId}`,
      );
      // A request that is sent until then takes as long over such a link.
      earl
        .expect(performance.now() - removedAtMs)
        .toBeLessThan(MAX_DRAIN_DELAY_MS - SLOW_LINK_DELAY_MS);
    });
  });

  // Guards against reads that are given up and repeated from the start although their answers keep arriving.
  void test.it(
    'although answers of the store take long to arrive',
    async () => {
      await withLeavingUpstream(1, async (fleet, leaving) => {
        fleet.store.setFault({
          kind: 'slowAnswers',
          durationMs: SLOW_ANSWER_MS,
        });
        await fleet.waitForRead(UPSTREAM_TABLE);
        await timers.setTimeout(EXECUTION_MS);
        fleet.store.deleteRow(UPSTREAM_TABLE, leaving.upstreamId);
        await timers.setTimeout(2 * SLOW_ANSWER_MS + MAX_DRAIN_DELAY_MS);
        earl.expect(await countArrivals(fleet, 0, leaving)).toEqual(0);
      });
    },
  );
});
