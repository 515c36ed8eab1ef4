import * as test from 'node:test';
import * as earl from 'earl';
import * as registers from '../../../src/services/dispatch/UpstreamRegister.js';
import * as headers from '../../../platform/HeaderCodec.js';
import * as records from '../../support/records/index.js';

const OBJECT_COUNT = 60;

function countFirstRanked(
  register: registers.UpstreamRegister,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (let index = 0; index < OBJECT_COUNT; index++) {
    const [first] = register.rank({
      serviceId: 'desk',
      objectName: `/desk/${index}`,
      homeRegions: undefined,
      random: 0,
    });
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  return counts;
}

void test.describe('UpstreamRegister', () => {
  void test.it('ranks regions without a share last', async () => {
    // Shares that were computed while only one region had upstreams contain that region alone.
    const register = new registers.UpstreamRegister(new headers.HeaderCodec());
    const nearRecords = ['a', 'b', 'c'].map(id =>
      records.getUpstreamRecord(id),
    );
    const farRecords = ['x', 'y'].map(id =>
      records.getUpstreamRecord(id, {region: 'irbid'}),
    );
    register.setRecords([...nearRecords, ...farRecords]);
    register.setShares('desk', new Map([['amman', 1]]));
    const firstCounts = countFirstRanked(register);
    earl.expect([...firstCounts.keys()].sort()).toEqual(['a', 'b', 'c']);
    await register.close();
  });

  void test.it(
    'ranks no upstream that is draining or in an evacuated domain',
    async () => {
      const register = new registers.UpstreamRegister(
        new headers.HeaderCodec(),
      );
      register.setRecords([
        records.getUpstreamRecord('a'),
        records.getUpstreamRecord('b', {failureDomain: 'amman-b'}),
        records.getUpstreamRecord('c', {state: 'draining'}),
      ]);
      earl
        .expect([...countFirstRanked(register).keys()].sort())
        .toEqual(['a', 'b']);
      register.setEvacuated(['amman-a']);
      earl.expect([...countFirstRanked(register).keys()]).toEqual(['b']);
      earl.expect(register.setEvacuated([])).toEqual(['amman-a']);
      earl
        .expect([...countFirstRanked(register).keys()].sort())
        .toEqual(['a', 'b']);
      await register.close();
    },
  );

  void test.it(
    'reports upstreams that must get no more requests as not usable',
    async () => {
      const register = new registers.UpstreamRegister(
        new headers.HeaderCodec(),
      );
      const isUsable = (
        change: Parameters<typeof records.getUpstreamRecord>[1],
      ) => {
        register.setRecords([records.getUpstreamRecord('a')]);
        const previous = register.get('a')?.state;
        register.setRecords([records.getUpstreamRecord('a', change)]);
        return previous !== undefined && register.isUsable(previous);
      };
      earl.expect(isUsable({slotCount: 3})).toEqual(true);
      earl.expect(isUsable({state: 'draining'})).toEqual(false);
      earl.expect(isUsable({startedAtMs: 2})).toEqual(false);
      const [{state}] = register.getAll();
      register.setEvacuated([state.record.failureDomain]);
      earl.expect(register.isUsable(state)).toEqual(false);
      register.setEvacuated([]);
      earl.expect(register.isUsable(state)).toEqual(true);
      register.setRecords([]);
      earl.expect(register.isUsable(state)).toEqual(false);
      await register.close();
    },
  );

  void test.it('treats a restarted upstream as a new one', async () => {
    const register = new registers.UpstreamRegister(new headers.HeaderCodec());
    register.setRecords([records.getUpstreamRecord('a')]);
    register.get('a')?.state.setMisdirected();
    const events = register.setRecords([
      records.getUpstreamRecord('a', {startedAtMs: 2}),
    ]);
    earl.expect(events.map(event => event.kind)).toEqual(['added']);
    earl
      .expect(register.get('a')?.state.getView('', 'amman', 0, 0).isOpen)
      .toEqual(true);
    await register.close();
  });
});
