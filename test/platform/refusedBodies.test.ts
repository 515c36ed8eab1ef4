import * as test from 'node:test';
import * as earl from 'earl';
import type * as upstreams from '../../standins/store/FakeUpstream.js';
import * as fleets from './EntryFleet.js';

const BODY = 'the body';
const LARGE_BODY_BYTES = 900_000;

async function withVm(
  run: (
    fleet: fleets.EntryFleet,
    upstream: upstreams.FakeUpstream,
  ) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(
      [{prefix: '/book/', kind: 'unsafe', service: 'desk'}],
      fleets.getSoleOrganisation('k1'),
    );
    const upstream = await fleet.addUpstream('desk');
    await fleet.addVms(1);
    await run(fleet, upstream);
  });
}

// Guards against bodies that are read although the head of their request is enough to refuse it.
void test.describe('a request that is refused by its head', () => {
  void test.it('is answered before its body is sent', async () => {
    await withVm(async fleet => {
      for (const [path, key, status] of [
        ['/book/x', 'unknown', 401],
        ['/none/x', 'k1', 404],
      ] as const) {
        const caller = await fleet.connect(0);
        caller.sendHeadWith('r', path, key, [
          `content-length: ${LARGE_BODY_BYTES}`,
        ]);
        await fleet.waitFor(() => caller.getStatuses().length > 0);
        earl.expect(caller.getStatuses()).toEqual([status]);
        await fleet.waitFor(() => caller.isClosed);
      }
    });
  });

  void test.it('is answered before its body is asked for', async () => {
    await withVm(async (fleet, upstream) => {
      const expect = ['expect: 100-continue', `content-length: ${BODY.length}`];
      const refused = await fleet.connect(0);
      refused.sendHeadWith('r1', '/book/x', 'unknown', expect);
      await fleet.waitFor(() => refused.isClosed);
      earl.expect(refused.getStatuses()).toEqual([401]);
      const granted = await fleet.connect(0);
      granted.sendHeadWith('r2', '/book/x', 'k1', expect);
      await fleet.waitFor(() => granted.getStatuses().length === 1);
      granted.write(BODY);
      await fleet.waitFor(() => granted.getStatuses().length === 2);
      earl.expect(granted.getStatuses()).toEqual([100, 200]);
      earl.expect(upstream.runs.map(({body}) => body)).toEqual([BODY]);
      granted.close();
    });
  });

  void test.it('keeps its connection if its body is short', async () => {
    await withVm(async fleet => {
      const caller = await fleet.connect(0);
      for (const [requestId, key] of [
        ['r1', 'unknown'],
        ['r2', 'k1'],
      ] as const) {
        const answerCount = caller.getStatuses().length;
        caller.sendHeadWith(
          requestId,
          '/book/x',
          key,
          [`content-length: ${BODY.length}`],
          BODY,
        );
        await fleet.waitFor(() => caller.getStatuses().length > answerCount);
      }
      caller.sendHeadWith('r3', '/book/x', 'unknown', [
        `content-length: ${BODY.length}`,
      ]);
      await fleet.waitFor(() => caller.getStatuses().length === 3);
      caller.write(BODY);
      caller.send(['r4'], '/book/x');
      await fleet.waitFor(() => caller.getStatuses().length === 4);
      earl.expect(caller.getStatuses()).toEqual([401, 200, 401, 200]);
      earl.expect(caller.isClosed).toEqual(false);
      caller.close();
    });
  });
});
