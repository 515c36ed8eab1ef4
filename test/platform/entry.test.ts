import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const ROUTES: readonly fleets.FleetRoute[] = [
  {prefix: '/look/', kind: 'safe', service: 'desk'},
  {prefix: '/act/', kind: 'unsafe', service: 'desk', timeout: '700ms'},
];
const ORGANISATIONS: readonly fleets.FleetOrganisation[] = [
  {name: 'rustavi', keys: ['k1'], ratePerSecond: 0},
];

/** Runs a test over a fleet with two upstreams and some VMs. */
async function withServingFleet(
  vmCount: number,
  run: (fleet: fleets.EntryFleet) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(ROUTES, ORGANISATIONS);
    await fleet.addUpstream('desk');
    await fleet.addUpstream('desk');
    await fleet.addVms(vmCount);
    await run(fleet);
  });
}

/** Gets the upstreams of a fleet that ran a request. */
function countRuns(
  upstreams: readonly {readonly runs: readonly {requestId: string}[]}[],
  requestId: string,
): number {
  return upstreams
    .flatMap(upstream => upstream.runs)
    .filter(run => run.requestId === requestId).length;
}

void test.describe('the entry program on the platform', () => {
  void test.it('serves a request and forwards what it should', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(ROUTES, ORGANISATIONS);
      const upstream = await fleet.addUpstream('desk');
      await fleet.addVms(1);
      const answer = await fleet.call(0, {
        method: 'POST',
        path: '/act/do?x=1',
        requestId: 'one',
      });
      earl.expect(answer.httpStatus).toEqual(200);
      earl.expect(answer.text).toEqual('answer to one');
      earl.expect(answer.headers['x-response-seal']).toEqual('seal-one');
      const [run] = upstream.runs;
      earl.expect(run.target).toEqual('/act/do?x=1');
      earl.expect(run.body).toEqual('the body');
      earl.expect(run.headers['x-tenant']).toEqual('rustavi');
      earl.expect(run.headers['authorization']).toEqual(undefined);
      earl.expect(run.headers['host']).toEqual('a.example');
      earl.expect(run.headers['x-expected-instance']).toEqual('i-0');
      const remainingMs = Number(run.headers['x-request-deadline']);
      earl.expect(remainingMs).toBeGreaterThan(0);
      earl.expect(remainingMs).toBeLessThanOrEqual(700);
      const unknown = await fleet.call(0, {path: '/none/'});
      earl.expect(unknown.httpStatus).toEqual(404);
      const stranger = await fleet.call(0, {key: 'k9'});
      earl.expect(stranger.httpStatus).toEqual(401);
    });
  });

  void test.it('answers 503 until it knows a configuration', async () => {
    await fleets.withFleet(async fleet => {
      const starting = fleet.addVms(1);
      await fleet.waitFor(async () => (await fleet.call(0)).httpStatus === 503);
      fleet.configure(ROUTES, ORGANISATIONS);
      await fleet.addUpstream('desk');
      await starting;
      await fleet.waitFor(async () => (await fleet.call(0)).httpStatus === 200);
    });
  });

  void test.it('runs an unsafe request once whatever comes back', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(ROUTES, ORGANISATIONS);
      const upstreams = [
        await fleet.addUpstream('desk'),
        await fleet.addUpstream('desk'),
        await fleet.addUpstream('desk'),
      ];
      await fleet.addVms(1);
      for (const mode of [
        'resetAfterRun',
        'crossed',
        'truncate',
        'unframedReset',
        'silent',
      ] as const) {
        for (const upstream of upstreams) upstream.mode = mode;
        const requestId = `once-${mode}`;
        const answer = await fleet.call(0, {
          method: 'POST',
          path: '/act/',
          requestId,
        });
        // 429 and 503 would say that it has not run.
        earl.expect([502, 504].includes(answer.httpStatus)).toEqual(true);
        earl.expect(answer.headers['x-response-seal']).toEqual(undefined);
        earl.expect(countRuns(upstreams, requestId)).toEqual(1);
      }
    });
  });

  void test.it('repeats a safe request that one upstream lost', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(ROUTES, ORGANISATIONS);
      const bad = await fleet.addUpstream('desk');
      const good = await fleet.addUpstream('desk');
      await fleet.addVms(1);
      for (const mode of [
        'resetAfterRun',
        'crossed',
        'unframedReset',
        'replaced',
      ] as const) {
        bad.mode = mode;
        for (let object = 0; object < 6; object++) {
          const requestId = `again-${mode}-${object}`;
          const answer = await fleet.call(0, {
            object: String(object),
            requestId,
          });
          earl.expect(answer.httpStatus).toEqual(200);
          earl.expect(answer.text).toEqual(`answer to ${requestId}`);
        }
      }
      earl.expect(good.runs.length).toBeGreaterThan(0);
    });
  });

  void test.it(
    'passes on an answer that ends with its connection',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(ROUTES, ORGANISATIONS);
        const upstream = await fleet.addUpstream('desk');
        upstream.mode = 'unframed';
        await fleet.addVms(1);
        const answer = await fleet.call(0, {requestId: 'whole'});
        earl.expect(answer.httpStatus).toEqual(200);
        earl.expect(answer.text).toEqual('answer to whole');
        // Nobody knows whether it is whole, so it must not be said to be.
        earl.expect(answer.headers['content-length']).toEqual(undefined);
        earl.expect(answer.headers['transfer-encoding']).toEqual(undefined);
      });
    },
  );

  void test.it('tells the truth when every upstream refuses', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(ROUTES, ORGANISATIONS);
      const upstream = await fleet.addUpstream('desk');
      await fleet.addVms(1);
      upstream.mode = 'shed';
      const answer = await fleet.call(0, {method: 'POST', path: '/act/'});
      earl.expect(answer.httpStatus).toEqual(503);
      earl.expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
      earl.expect(upstream.runs.length).toEqual(0);
    });
  });

  void test.it(
    'sends nothing to a leaving upstream or an emptied domain',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(ROUTES, ORGANISATIONS);
        const leaving = await fleet.addUpstream('desk');
        const staying = await fleet.addUpstream('desk', 'irbid-a');
        await fleet.addVms(1);
        fleet.store.put(
          'servers',
          leaving.upstreamId,
          leaving.getEntry('desk', 'amman-a', 'draining'),
        );
        // The bound on leaving upstreams.
        await timers.setTimeout(2500);
        const before = leaving.arrivalCount;
        for (let object = 0; object < 20; object++)
          await fleet.call(0, {object: String(object)});
        earl.expect(leaving.arrivalCount).toEqual(before);
        fleet.store.put('op', 'evacuate/irbid-a', {});
        await fleet.waitFor(
          async () => (await fleet.call(0)).httpStatus === 503,
        );
        const reached = staying.arrivalCount;
        await fleet.call(0, {object: 'other'});
        earl.expect(staying.arrivalCount).toEqual(reached);
        fleet.store.drop('op', 'evacuate/irbid-a');
        await fleet.waitFor(
          async () => (await fleet.call(0)).httpStatus === 200,
        );
      });
    },
  );

  void test.it('applies changes after the history was dropped', async () => {
    await withServingFleet(1, async fleet => {
      fleet.store.compact();
      fleet.configure(ROUTES, [
        {name: 'rustavi', keys: ['k2'], ratePerSecond: 0},
      ]);
      await fleet.waitFor(
        async () => (await fleet.call(0, {key: 'k1'})).httpStatus === 401,
      );
      const answer = await fleet.call(0, {key: 'k2'});
      earl.expect(answer.httpStatus).toEqual(200);
    });
  });

  void test.it('is certain of what is unknown at any moment', async () => {
    await withServingFleet(1, async fleet => {
      // Two waits for changes pass meanwhile.
      const endMs = performance.now() + 6000;
      while (performance.now() < endMs) {
        const answer = await fleet.call(0, {key: 'k9'});
        earl.expect(answer.httpStatus).toEqual(401);
        await timers.setTimeout(50);
      }
    });
  });

  void test.it(
    'learns a change from a peer while the store refuses it',
    async () => {
      for (const fault of [
        {kind: 'refuse', httpStatus: 503},
        {kind: 'silence'},
        {kind: 'reset'},
      ] as const)
        await withServingFleet(2, async fleet => {
          await fleet.waitFor(
            async () => (await fleet.steer(0, 'irbid-a')).length === 1,
          );
          fleet.store.setFault(fault, fleet.getVmHost(1));
          fleet.configure(ROUTES, [
            {name: 'rustavi', keys: ['k2'], ratePerSecond: 0},
          ]);
          const changedAtMs = performance.now();
          await fleet.waitFor(
            async () => (await fleet.call(1, {key: 'k2'})).httpStatus === 200,
          );
          // The bound on changes of the configuration and the margin of an unstable store.
          earl.expect(performance.now() - changedAtMs).toBeLessThan(7500);
          const withdrawn = await fleet.call(1, {key: 'k1'});
          earl.expect(withdrawn.httpStatus === 200).toEqual(false);
        });
    },
  );

  void test.it(
    'goes on serving while the store is away, also after a kill',
    async () => {
      await withServingFleet(2, async fleet => {
        await fleet.waitFor(
          async () => (await fleet.steer(1, 'amman-a')).length === 1,
        );
        fleet.store.setFault({kind: 'silence'});
        earl.expect((await fleet.call(0)).httpStatus).toEqual(200);
        await timers.setTimeout(1500);
        earl.expect((await fleet.call(1)).httpStatus).toEqual(200);
        await fleet.getProcess(0).kill();
        fleet.store.setFault({kind: 'none'});
        fleet.restart(0);
        await fleet.waitForReady(0);
        earl.expect((await fleet.call(0)).httpStatus).toEqual(200);
      });
    },
  );

  void test.it('cuts no request when it is asked to stop', async () => {
    await fleets.withFleet(async fleet => {
      fleet.configure(ROUTES, ORGANISATIONS);
      const upstream = await fleet.addUpstream('desk');
      upstream.workMs = 300;
      await fleet.addVms(2);
      await fleet.waitFor(
        async () => (await fleet.steer(1, 'amman-a')).length === 1,
      );
      const calls = Array.from({length: 6}, (_, object) =>
        fleet.call(0, {object: String(object)}),
      );
      await fleet.waitFor(() => upstream.runs.length > 0);
      fleet.getProcess(0).signal('SIGTERM');
      for (const answer of await Promise.all(calls))
        earl.expect(answer.httpStatus).toEqual(200);
      // Callers that have not heard of it are still served.
      earl.expect((await fleet.call(0)).httpStatus).toEqual(200);
      const startedAtMs = performance.now();
      earl.expect(await fleet.getProcess(0).waitForExit()).toEqual(0);
      earl.expect(performance.now() - startedAtMs).toBeLessThan(6000);
      // A stop closes the connections to the store, which is not lost thereby.
      const log = fleet.getProcess(0).getLog();
      earl.expect(log.includes('event=daemonStopping')).toEqual(true);
      earl.expect(log.includes('event=storeLost')).toEqual(false);
      const [named] = await fleet.steer(1, 'amman-a');
      earl.expect(named).toEqual(`${fleet.getVmHost(1)}:8668`);
    });
  });

  void test.it(
    'ends within its grace period while the store says nothing',
    async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(
          [{prefix: '/look/', kind: 'safe', service: 'desk', timeout: '20s'}],
          fleets.getSoleOrganisation('k1'),
        );
        const upstream = await fleet.addUpstream('desk');
        upstream.workMs = 20_000;
        await fleet.addVms(1);
        const called = fleet.call(0, {waitMs: 20_000}).catch(() => undefined);
        await fleet.waitFor(() => upstream.arrivalCount === 1);
        fleet.store.setFault({kind: 'silence'});
        fleet.getProcess(0).signal('SIGTERM');
        const startedAtMs = performance.now();
        earl.expect(await fleet.getProcess(0).waitForExit()).toEqual(0);
        earl.expect(performance.now() - startedAtMs).toBeLessThan(6000);
        await called;
      });
    },
  );

  void test.it('holds an organisation to its limit over two VMs', async () => {
    await fleets.withFleet(async fleet => {
      const ratePerSecond = 20;
      fleet.configure(ROUTES, [{name: 'rustavi', keys: ['k1'], ratePerSecond}]);
      const upstream = await fleet.addUpstream('desk');
      await fleet.addVms(2);
      await fleet.waitFor(
        async () => (await fleet.steer(1, 'amman-a')).length === 1,
      );
      const endMs = performance.now() + 5000;
      const press = async (vm: number) => {
        while (performance.now() < endMs) {
          await fleet.call(vm);
          await timers.setTimeout(10);
        }
      };
      await Promise.all([press(0), press(1), press(1)]);
      const allowed = (ratePerSecond * 5 + ratePerSecond) * 1.1 + 20;
      earl.expect(upstream.runs.length).toBeLessThanOrEqual(allowed);
      earl.expect(upstream.runs.length).toBeGreaterThan(ratePerSecond * 4);
    });
  });
});
