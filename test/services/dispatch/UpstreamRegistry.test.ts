import * as test from 'node:test';
import * as earl from 'earl';
import * as registries from '../../../src/services/dispatch/UpstreamRegistry.js';
import * as headers from '../../../platform/HeaderCodec.js';
import * as records from '../../support/records/index.js';

const OBJECT_COUNT = 60;

function countFirstRanked(
  registry: registries.UpstreamRegistry,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < OBJECT_COUNT; index++) {
    const [first] = registry.rank({
      serviceId: 'desk',
      objectName: `/desk/${index}`,
      homeRegions: undefined,
      random: 0,
    });
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  return counts;
}

void test.describe('UpstreamRegistry', () => {
  void test.it('ranks regions without a share last', async () => {
    // Shares that were computed while only one region had upstreams contain that region alone.
    const registry = new registries.UpstreamRegistry(new headers.HeaderCodec());
    const nearRecords = ['a', 'b', 'c'].map(id =>
      records.getUpstreamRecord(id),
    );
    const farRecords = ['x', 'y'].map(id =>
      records.getUpstreamRecord(id, {region: 'irbid'}),
    );
    registry.setRecords([...nearRecords, ...farRecords], 0);
    registry.setShares('desk', new Map([['amman', 1]]));
    const firstCounts = countFirstRanked(registry);
    earl.expect([...firstCounts.keys()].sort()).toEqual(['a', 'b', 'c']);
    await registry.close();
  });

  void test.it(
    'ranks no upstream that is draining or in an evacuated domain',
    async () => {
      const registry = new registries.UpstreamRegistry(
        new headers.HeaderCodec(),
      );
      registry.setRecords(
        [
          records.getUpstreamRecord('a'),
          records.getUpstreamRecord('b', {failureDomain: 'amman-b'}),
          records.getUpstreamRecord('c', {state: 'draining'}),
        ],
        0,
      );
      earl
        .expect([...countFirstRanked(registry).keys()].sort())
        .toEqual(['a', 'b']);
      registry.setEvacuatedDomains(['amman-a']);
      earl.expect([...countFirstRanked(registry).keys()]).toEqual(['b']);
      earl.expect(registry.setEvacuatedDomains([])).toEqual(['amman-a']);
      earl
        .expect([...countFirstRanked(registry).keys()].sort())
        .toEqual(['a', 'b']);
      await registry.close();
    },
  );

  void test.it(
    'reports upstreams that must get no more requests as not usable',
    async () => {
      const registry = new registries.UpstreamRegistry(
        new headers.HeaderCodec(),
      );
      const isUsable = (
        change: Parameters<typeof records.getUpstreamRecord>[1],
      ) => {
        registry.setRecords([records.getUpstreamRecord('a')], 0);
        const previous = registry.get('a')?.state;
        registry.setRecords([records.getUpstreamRecord('a', change)], 0);
        return previous !== undefined && registry.isUsable(previous);
      };
      earl.expect(isUsable({slotCount: 3})).toEqual(true);
      earl.expect(isUsable({state: 'draining'})).toEqual(false);
      earl.expect(isUsable({startedAtMs: 2})).toEqual(false);
      const [{state}] = registry.getAll();
      registry.setEvacuatedDomains([state.record.failureDomain]);
      earl.expect(registry.isUsable(state)).toEqual(false);
      registry.setEvacuatedDomains([]);
      earl.expect(registry.isUsable(state)).toEqual(true);
      registry.setRecords([], 0);
      earl.expect(registry.isUsable(state)).toEqual(false);
      await registry.close();
    },
  );

  void test.it('treats a restarted upstream as a new one', async () => {
    const registry = new registries.UpstreamRegistry(new headers.HeaderCodec());
    registry.setRecords([records.getUpstreamRecord('a')], 0);
    registry.get('a')?.state.setMisdirected();
    const events = registry.setRecords(
      [records.getUpstreamRecord('a', {startedAtMs: 2})],
      0,
    );
    earl.expect(events.map(event => event.kind)).toEqual(['added']);
    earl
      .expect(registry.get('a')?.state.getView('', 'amman', 0, 0).isAvailable)
      .toEqual(true);
    await registry.close();
  });

  void test.it(
    'keeps a start of an upstream that leaves unusable, not a later start',
    async () => {
      const registry = new registries.UpstreamRegistry(
        new headers.HeaderCodec(),
      );
      const record = records.getUpstreamRecord('a');
      const setAndGetUsable = (next: readonly (typeof record)[]) => {
        registry.setRecords(next, 0);
        return [...registry.getAll()].map(({state}) =>
          registry.isUsable(state),
        );
      };
      earl.expect(setAndGetUsable([record])).toEqual([true]);
      earl.expect(registry.setLeaving(record, 0)).toEqual(true);
      earl.expect(registry.setLeaving(record, 0)).toEqual(false);
      earl.expect(setAndGetUsable([record])).toEqual([false]);
      const ranked = registry.rank({
        serviceId: 'desk',
        objectName: '/desk/1',
        homeRegions: undefined,
        random: 0,
      });
      earl.expect(ranked).toEqual([]);
      // The row expires while the store is away and comes back with it.
      earl.expect(setAndGetUsable([])).toEqual([]);
      earl.expect(setAndGetUsable([record])).toEqual([false]);
      const restarted = {...record, startedAtMs: 2};
      earl.expect(setAndGetUsable([restarted])).toEqual([true]);
      earl.expect(registry.setLeaving(record, 0)).toEqual(false);
      earl.expect(setAndGetUsable([restarted])).toEqual([true]);
      await registry.close();
    },
  );

  void test.it(
    'marks an upstream whose row arrives after the news that it leaves',
    async () => {
      const registry = new registries.UpstreamRegistry(
        new headers.HeaderCodec(),
      );
      const record = records.getUpstreamRecord('a');
      registry.setLeaving(record, 0);
      registry.setRecords([record], 0);
      const [{state}] = registry.getAll();
      earl.expect(registry.isUsable(state)).toEqual(false);
      await registry.close();
    },
  );

  // VMs that all prefer the same one of two unknown upstreams would overload it.
  void test.it('alternates between two designated upstreams', async () => {
    const upstreams = ['a', 'b', 'c'].map(id => records.getUpstreamRecord(id));
    const codec = new headers.HeaderCodec();
    const first = new registries.UpstreamRegistry(codec);
    const registry = new registries.UpstreamRegistry(codec, undefined, {
      kind: 'designated',
    });
    first.setRecords(upstreams, 0);
    registry.setRecords(upstreams, 0);
    const getFirstIds = (spread = registry) =>
      [0, 1, 2, 3].map(
        () => spread.getViews(['a', 'b', 'c'], '/desk/1', 0, 0)[0].upstreamId,
      );
    earl.expect(getFirstIds(first)).toEqual(['a', 'a', 'a', 'a']);
    await first.close();
    earl.expect(getFirstIds().sort()).toEqual(['a', 'a', 'b', 'b']);
    // What this VM sends to one of them, its peers are taken to send there as well, until a report says otherwise.
    const state = registry.get('a')?.state;
    registry.setRegionPeerCount(34);
    if (state === undefined) throw new Error('the upstream is missing');
    state.endSend(state.addSend(0));
    registry.addDuration(state, 400);
    earl.expect(getFirstIds()).toEqual(['b', 'b', 'b', 'b']);
    state.addAnswer({busyCount: 0, slotCount: 3}, 0);
    earl.expect(getFirstIds().sort()).toEqual(['a', 'a', 'b', 'b']);
    await registry.close();
  });

  void test.it('counts a slow upstream with less capacity', async () => {
    const registry = new registries.UpstreamRegistry(new headers.HeaderCodec());
    registry.setRecords(
      ['a', 'b'].map(id => records.getUpstreamRecord(id)),
      0,
    );
    const load = {busyCount: 0, slotCount: 3, slowdown: 2.5};
    registry.get('a')?.state.addAnswer(load, 0);
    const getCapacity = (nowMs: number) =>
      registry.getEffectiveCapacities('desk', nowMs).get('amman') ?? 0;
    earl.expect(getCapacity(0)).toBeCloseTo(3 * 0.4 + 3, 1e-9);
    earl.expect(getCapacity(3000)).toEqual(6);
    earl.expect(registry.getCapacities('desk').get('amman')).toEqual(6);
    const [view] = registry.getViews(['a'], '', 0, 0);
    earl.expect(view.speed).toEqual(0.4);
    await registry.close();
  });

  void test.it('ranks others instead of paused upstreams', async () => {
    const registry = new registries.UpstreamRegistry(new headers.HeaderCodec());
    const ids = ['a', 'b', 'c', 'd', 'e', 'f'];
    registry.setRecords(
      ids.map(id => records.getUpstreamRecord(id)),
      0,
    );
    const query = {
      serviceId: 'desk',
      objectName: '/desk/1',
      homeRegions: undefined,
      random: 0,
    };
    const ranked = registry.rank(query);
    for (const [index, id] of ranked.entries())
      registry.get(id)?.state.extendPause(1000 + index, 0);
    earl.expect(registry.isAnyPaused(ranked, 999)).toEqual(true);
    earl.expect(registry.isAnyUnreachable(ranked, 999)).toEqual(true);
    const open = registry.rankReachable(query, [], 999);
    earl
      .expect([...open].sort())
      .toEqual(ids.filter(id => !ranked.includes(id)));
    earl.expect(registry.getFirstPauseEndMs(query, 999)).toEqual(undefined);
    for (const id of open) registry.get(id)?.state.extendPause(5000, 0);
    earl.expect(registry.rankReachable(query, [], 999)).toEqual([]);
    earl.expect(registry.getFirstPauseEndMs(query, 999)).toEqual(1000);
    earl.expect(registry.rankReachable(query, [], 1000)).toEqual([ranked[0]]);
    await registry.close();
  });

  void test.it('keeps a pause while the row is missing', async () => {
    const registry = new registries.UpstreamRegistry(new headers.HeaderCodec());
    const record = records.getUpstreamRecord('a');
    registry.setRecords([record], 0);
    registry.get('a')?.state.extendPause(3000, 0);
    registry.setRecords([], 100);
    registry.setRecords([record], 200);
    const [{state}] = registry.getAll();
    earl.expect(registry.isOpen(state, 2999)).toEqual(false);
    earl.expect(registry.isOpen(state, 3000)).toEqual(true);
    await registry.close();
  });
});
