import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

const OBJECT_COUNT = 4000;

function createRegion(
  region: string,
  share: number,
  upstreamIds: readonly string[],
): decisions.RankableRegion {
  return {
    region,
    hash: decisions.getHash(region),
    share,
    upstreams: upstreamIds.map(upstreamId => ({
      upstreamId,
      hash: decisions.getHash(upstreamId),
      weight: 3,
    })),
  };
}

function createUpstreamIds(prefix: string, count: number): readonly string[] {
  return Array.from({length: count}, (_, index) => `${prefix}-${index}`);
}

function rankForAllObjects(
  regions: readonly decisions.RankableRegion[],
): readonly (readonly string[])[] {
  return Array.from({length: OBJECT_COUNT}, (_, index) =>
    decisions.rankInRegions(regions, decisions.getHash(`/route/${index}`)),
  );
}

const getRegionName = (upstreamId: string) => upstreamId.split('-')[0];

void test.describe('rankInRegions', () => {
  void test.it('assigns each region its share of the objects', () => {
    const ranked = rankForAllObjects([
      createRegion('x', 0.6, createUpstreamIds('x', 4)),
      createRegion('y', 0.4, createUpstreamIds('y', 20)),
    ]);
    const observedShare =
      ranked.filter(([first]) => getRegionName(first) === 'x').length /
      OBJECT_COUNT;
    earl.expect(Math.abs(observedShare - 0.6)).toBeLessThan(0.03);
  });

  void test.it(
    'keeps objects in their region while its upstreams are replaced',
    () => {
      const before = rankForAllObjects([
        createRegion('x', 0.5, createUpstreamIds('x', 10)),
        createRegion('y', 0.5, createUpstreamIds('y', 10)),
      ]);
      const after = rankForAllObjects([
        createRegion('x', 0.5, [
          ...createUpstreamIds('x', 5),
          ...createUpstreamIds('x-new', 5),
        ]),
        createRegion('y', 0.5, createUpstreamIds('y', 10)),
      ]);
      const movedCount = after.filter(
        ([first], index) =>
          getRegionName(first) !== getRegionName(before[index][0]),
      ).length;
      earl.expect(movedCount).toEqual(0);
    },
  );

  void test.it(
    'keeps the region of an object when its route moves to another service',
    () => {
      const before = rankForAllObjects([
        createRegion('x', 0.5, createUpstreamIds('x', 10)),
        createRegion('y', 0.5, createUpstreamIds('y', 10)),
      ]);
      const after = rankForAllObjects([
        createRegion('x', 0.45, createUpstreamIds('x-desk', 3)),
        createRegion('y', 0.55, createUpstreamIds('y-desk', 3)),
      ]);
      const movedCount = after.filter(
        ([first], index) =>
          getRegionName(first) !== getRegionName(before[index][0]),
      ).length;
      earl.expect(movedCount / OBJECT_COUNT).toBeLessThan(0.08);
    },
  );

  void test.it(
    'ranks three upstreams of the first region and one of another',
    () => {
      for (const ranked of rankForAllObjects([
        createRegion('x', 0.5, createUpstreamIds('x', 10)),
        createRegion('y', 0.5, createUpstreamIds('y', 10)),
      ])) {
        const [first, second, third, last] = ranked.map(getRegionName);
        earl.expect([second, third]).toEqual([first, first]);
        earl.expect(last).not.toEqual(first);
      }
    },
  );

  void test.it(
    'ranks four upstreams if other regions are empty or the first has too few',
    () => {
      const rankedInOneRegion = decisions.rankInRegions(
        [
          createRegion('x', 1, createUpstreamIds('x', 5)),
          createRegion('y', 1, []),
        ],
        7,
      );
      earl.expect(rankedInOneRegion.length).toEqual(4);
      const rankedInTwoRegions = decisions.rankInRegions(
        [
          createRegion('x', 1, ['x-0']),
          createRegion('y', 1, createUpstreamIds('y', 5)),
        ],
        7,
      );
      earl.expect(new Set(rankedInTwoRegions).size).toEqual(4);
    },
  );
});
