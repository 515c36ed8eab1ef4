import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';

const SEED = 20261204;
const ROUNDING_ERROR = 1e-9;

function createRegionLoad(
  region: string,
  demandSlots: number,
  capacitySlots: number,
): decisions.RegionLoad {
  return {region, demandSlots, capacitySlots};
}

const slots = fastCheck.double({min: 0, max: 500, noNaN: true});

void test.describe('getRegionShares', () => {
  void test.it('keeps all objects in a region that has spare slots', () => {
    const loads = [
      createRegionLoad('a', 10, 90),
      createRegionLoad('b', 20, 100),
    ];
    earl.expect(decisions.getRegionShares(loads, 'a').get('a')).toEqual(1);
  });

  void test.it(
    'assigns the excess objects of a small region to regions with spare slots',
    () => {
      const loads = [
        createRegionLoad('aqaba', 44, 18),
        createRegionLoad('amman', 44, 90),
        createRegionLoad('irbid', 44, 108),
      ];
      const shares = decisions.getRegionShares(loads, 'aqaba');
      const keptShare = shares.get('aqaba') ?? 0;
      earl.expect(keptShare).toBeLessThan(0.35);
      earl
        .expect(shares.get('irbid') ?? 0)
        .toBeGreaterThan(shares.get('amman') ?? 0);
    },
  );

  void test.it(
    'overloads no region while other regions have spare slots',
    () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(fastCheck.tuple(slots, slots), {
            minLength: 2,
            maxLength: 5,
          }),
          pairs => {
            const loads = pairs.map(([demand, capacity], index) =>
              createRegionLoad(`r${index}`, demand, capacity),
            );
            const demand = pairs.reduce((sum, pair) => sum + pair[0], 0);
            const capacity = pairs.reduce((sum, pair) => sum + pair[1], 0);
            fastCheck.pre(capacity > 1 && demand < 0.8 * capacity);
            const load = new Map<string, number>();
            for (const {region, demandSlots} of loads) {
              const shares = decisions.getRegionShares(loads, region);
              const total = [...shares.values()].reduce((a, b) => a + b, 0);
              earl
                .expect(Math.abs(total - 1))
                .toBeLessThan(ROUNDING_ERROR * 10);
              for (const [to, share] of shares)
                load.set(to, (load.get(to) ?? 0) + share * demandSlots);
            }
            for (const {region, capacitySlots} of loads)
              earl
                .expect(load.get(region) ?? 0)
                .toBeLessThanOrEqual(capacitySlots + ROUNDING_ERROR * 1000);
          },
        ),
        {seed: SEED, numRuns: 2000},
      );
    },
  );

  void test.it(
    'moves at most one step at a time and reaches the target',
    () => {
      const target = new Map([
        ['a', 0.2],
        ['b', 0.8],
      ]);
      let shares: decisions.RegionShares = new Map([['a', 1]]);
      for (let step = 0; step < 16; step++) {
        const next = decisions.moveSharesTowards(shares, target, 0.05);
        earl
          .expect(decisions.getMovedShare(shares, next))
          .toBeLessThanOrEqual(0.05 + ROUNDING_ERROR);
        shares = next;
      }
      earl
        .expect(decisions.getMovedShare(shares, target))
        .toBeLessThan(ROUNDING_ERROR);
    },
  );
});
