import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import type * as upstreams from '../../standins/store/FakeUpstream.js';
import * as fleets from './EntryFleet.js';

const CALL_COUNT = 40;

/** Runs a test with one VM or more and the given number of upstreams of one service. */
async function withUpstreams(
  counts: {readonly vmCount: number; readonly upstreamCount: number},
  run: (
    fleet: fleets.EntryFleet,
    upstreams: readonly upstreams.FakeUpstream[],
  ) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(
      [{prefix: '/look/', kind: 'safe', service: 'desk'}],
      fleets.getSoleOrganisation('k1'),
    );
    const started: upstreams.FakeUpstream[] = [];
    for (let index = 0; index < counts.upstreamCount; index++)
      started.push(await fleet.addUpstream('desk'));
    await fleet.addVms(counts.vmCount);
    await run(fleet, started);
  });
}

/** Sends calls for different objects to a VM, one after the other; returns the HTTP statuses that occurred. */
async function callForAll(
  fleet: fleets.EntryFleet,
  vmIndex: number,
): Promise<readonly number[]> {
  const statuses = new Set<number>();
  for (let object = 0; object < CALL_COUNT; object++) {
    const answer = await fleet.call(vmIndex, {object: String(object)});
    statuses.add(answer.httpStatus);
  }
  return [...statuses];
}

function hasLogged(
  fleet: fleets.EntryFleet,
  vmIndex: number,
  text: string,
): boolean {
  return fleet.getProcess(vmIndex).getLog().includes(text);
}

void test.describe('a notice in the responses of an upstream', () => {
  void test.it(
    'that it leaves keeps all VMs from it, although its row says ready',
    async () => {
      await withUpstreams(
        {vmCount: 2, upstreamCount: 2},
        async (fleet, all) => {
          const [leaving] = all;
          leaving.isLeaving = true;
          earl.expect(await callForAll(fleet, 0)).toEqual([200]);
          earl.expect(leaving.arrivalCount).toEqual(1);
          await fleet.waitFor(() =>
            hasLogged(fleet, 1, 'upstreamLeaving upstream=i-0 source=peer'),
          );
          // The upstream still writes that it is ready.
          fleet.store.put(
            'servers',
            leaving.upstreamId,
            leaving.getEntry('desk', 'amman-a'),
          );
          await fleet.waitForRead('servers');
          earl.expect(await callForAll(fleet, 0)).toEqual([200]);
          earl.expect(await callForAll(fleet, 1)).toEqual([200]);
          earl.expect(leaving.arrivalCount).toEqual(1);
        },
      );
    },
  );

  // Guards against a VM that forgets at its restart what its peers know, while the row says ready.
  void test.it('that it leaves is passed on to a VM that starts', async () => {
    await withUpstreams({vmCount: 2, upstreamCount: 2}, async (fleet, all) => {
      const [leaving] = all;
      leaving.isLeaving = true;
      await callForAll(fleet, 0);
      await fleet.waitFor(() =>
        hasLogged(fleet, 1, 'upstreamLeaving upstream=i-0 source=peer'),
      );
      await fleet.getProcess(0).kill();
      fleet.restart(0);
      await fleet.waitForReady(0);
      await timers.setTimeout(1000);
      earl.expect(await callForAll(fleet, 0)).toEqual([200]);
      earl.expect(leaving.arrivalCount).toEqual(1);
    });
  });

  void test.it('that it leaves ends with that start of it', async () => {
    await withUpstreams({vmCount: 1, upstreamCount: 2}, async (fleet, all) => {
      const [leaving] = all;
      leaving.isLeaving = true;
      await callForAll(fleet, 0);
      leaving.isLeaving = false;
      fleet.store.put('servers', leaving.upstreamId, {
        ...leaving.getEntry('desk', 'amman-a'),
        born: 2,
      });
      const before = leaving.arrivalCount;
      await fleet.waitFor(async () => {
        await callForAll(fleet, 0);
        return leaving.arrivalCount > before;
      });
    });
  });

  void test.it(
    'that it wants a pause sends requests elsewhere until its end',
    async () => {
      await withUpstreams(
        {vmCount: 1, upstreamCount: 6},
        async (fleet, all) => {
          const paused = all.slice(0, 5);
          for (const upstream of paused) {
            upstream.mode = 'shed';
            upstream.retryAfterValues = ['2'];
          }
          const startedAtMs = performance.now();
          // Each call meets two paused upstreams at most, so that some calls are refused until all are known.
          await callForAll(fleet, 0);
          const met = paused.map(upstream => upstream.arrivalCount);
          earl.expect(await callForAll(fleet, 0)).toEqual([200]);
          const hasTime = performance.now() < startedAtMs + 2000;
          earl.expect(hasTime).toEqual(true);
          earl
            .expect(paused.map(upstream => upstream.arrivalCount))
            .toEqual(met);
          earl.expect(Math.max(...met)).toEqual(1);
          for (const upstream of paused) upstream.mode = 'normal';
          await fleet.waitFor(async () => {
            await callForAll(fleet, 0);
            return paused.every(upstream => upstream.runs.length > 0);
          });
          earl
            .expect(performance.now())
            .toBeGreaterThanOrEqual(startedAtMs + 2000);
        },
      );
    },
  );

  void test.it(
    'that all want a pause refuses requests with the time at which one ends',
    async () => {
      await withUpstreams(
        {vmCount: 1, upstreamCount: 2},
        async (fleet, all) => {
          for (const upstream of all) {
            upstream.mode = 'shed';
            upstream.retryAfterValues = ['1.5'];
          }
          await fleet.call(0);
          const pausedAtMs = performance.now();
          const arrivalCount = all.reduce(
            (total, upstream) => total + upstream.arrivalCount,
            0,
          );
          const refusal = await fleet.call(0);
          earl.expect(refusal.httpStatus).toEqual(503);
          const retryAfterMs = 1000 * Number(refusal.headers['retry-after']);
          earl.expect(retryAfterMs).toBeGreaterThan(1000);
          earl.expect(retryAfterMs).toBeLessThan(2000);
          earl
            .expect(
              all.reduce((total, upstream) => total + upstream.arrivalCount, 0),
            )
            .toEqual(arrivalCount);
          for (const upstream of all) upstream.mode = 'normal';
          await timers.setTimeout(retryAfterMs);
          earl.expect((await fleet.call(0)).httpStatus).toEqual(200);
          earl.expect(performance.now() - pausedAtMs).toBeGreaterThan(1400);
        },
      );
    },
  );

  void test.it('that cannot be read has no effect and is logged', async () => {
    await withUpstreams({vmCount: 1, upstreamCount: 1}, async (fleet, all) => {
      const [upstream] = all;
      for (const values of [['soon'], ['-60'], ['60', '60'], ['99999999']]) {
        upstream.mode = 'shed';
        upstream.retryAfterValues = values;
        const before = upstream.arrivalCount;
        await fleet.waitFor(async () => {
          await fleet.call(0);
          return upstream.arrivalCount > before;
        });
        upstream.mode = 'normal';
        await fleet.waitFor(async () => {
          const answer = await fleet.call(0);
          return answer.httpStatus === 200;
        });
      }
      const lines = fleet
        .getProcess(0)
        .getLog()
        .split('\n')
        .filter(line => line.includes('upstreamNoticeUnreadable'));
      earl.expect(lines.length).toEqual(1);
    });
  });
});
