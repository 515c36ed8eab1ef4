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
    registry.setRecords([...nearRecords, ...farRecords]);
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
      registry.setRecords([
        records.getUpstreamRecord('a'),
        records.getUpstreamRecord('b', {failureDomain: 'amman-b'}),
        records.getUpstreamRecord('c', {state: 'draining'}),
      ]);
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
        registry.setRecords([records.getUpstreamRecord('a')]);
        const previous = registry.get('a')?.state;
        registry.setRecords([records.getUpstreamRecord('a', change)]);
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
      registry.setRecords([]);
      earl.expect(registry.isUsable(state)).toEqual(false);
      await registry.close();
    },
  );

  void test.it('treats a restarted upstream as a new one', async () => {
    const registry = new registries.UpstreamRegistry(new headers.HeaderCodec());
    registry.setRecords([records.getUpstreamRecord('a')]);
    registry.get('a')?.state.setMisdirected();
    const events = registry.setRecords([
      records.getUpstreamRecord('a', {startedAtMs: 2}),
    ]);
    earl.expect(events.map(event => event.kind)).toEqual(['added']);
    earl
      .expect(registry.get('a')?.state.getView('', 'amman', 0, 0).isAvailable)
      .toEqual(true);
    await registry.close();
  });
});
