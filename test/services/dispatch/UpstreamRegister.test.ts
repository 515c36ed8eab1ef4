import * as test from 'node:test';
import * as earl from 'earl';
import * as registers from '../../../src/services/dispatch/UpstreamRegister.js';
import * as headers from '../../../platform/HeaderCodec.js';
import * as records from '../../support/records/index.js';

const OBJECT_COUNT = 60;

function getFirsts(
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
  void test.it('ranks regions that shares do not name last', async () => {
    // Shares that were worked out while only one region had registered named that region alone.
    const register = new registers.UpstreamRegister(new headers.HeaderCodec());
    const near = ['a', 'b', 'c'].map(id => records.getUpstreamRecord(id));
    const far = ['x', 'y'].map(id =>
      records.getUpstreamRecord(id, {region: 'irbid'}),
    );
    register.setRecords([...near, ...far]);
    register.setShares('desk', new Map([['amman', 1]]));
    const firsts = getFirsts(register);
    earl.expect([...firsts.keys()].sort()).toEqual(['a', 'b', 'c']);
    await register.close();
  });

  void test.it(
    'names nothing in an evacuated domain or that is draining',
    async () => {
      const register = new registers.UpstreamRegister(
        new headers.HeaderCodec(),
      );
      register.setRecords([
        records.getUpstreamRecord('a'),
        records.getUpstreamRecord('b', {failureDomain: 'amman-b'}),
        records.getUpstreamRecord('c', {state: 'draining'}),
      ]);
      earl.expect([...getFirsts(register).keys()].sort()).toEqual(['a', 'b']);
      register.setEvacuated(['amman-a']);
      earl.expect([...getFirsts(register).keys()]).toEqual(['b']);
      earl.expect(register.setEvacuated([])).toEqual(['amman-a']);
      earl.expect([...getFirsts(register).keys()].sort()).toEqual(['a', 'b']);
      await register.close();
    },
  );

  void test.it('knows of upstreams that may get nothing any more', async () => {
    const register = new registers.UpstreamRegister(new headers.HeaderCodec());
    const isUsable = (
      change: Parameters<typeof records.getUpstreamRecord>[1],
    ) => {
      register.setRecords([records.getUpstreamRecord('a')]);
      const known = register.get('a')?.state;
      register.setRecords([records.getUpstreamRecord('a', change)]);
      return known !== undefined && register.isUsable(known);
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
  });

  void test.it(
    'takes an upstream that started again for another one',
    async () => {
      const register = new registers.UpstreamRegister(
        new headers.HeaderCodec(),
      );
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
    },
  );
});
