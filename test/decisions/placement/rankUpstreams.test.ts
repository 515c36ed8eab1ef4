import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

const OBJECT_COUNT = 6000;

function createUpstreams(
  weights: readonly number[],
): readonly decisions.RankableUpstream[] {
  return weights.map((weight, index) => {
    const upstreamId = `i-${index}`;
    return {upstreamId, hash: decisions.getHash(upstreamId), weight};
  });
}

function getFirstChoices(
  upstreams: readonly decisions.RankableUpstream[],
): readonly string[] {
  return Array.from(
    {length: OBJECT_COUNT},
    (_, index) =>
      decisions.rankUpstreams(
        upstreams,
        decisions.getHash(`/route/${index.toString(16)}`),
        3,
      )[0],
  );
}

void test.describe('rankUpstreams', () => {
  void test.it(
    'assigns objects to each upstream in proportion to its weight',
    () => {
      const firstChoices = getFirstChoices(createUpstreams([1, 1, 2, 4]));
      const counts = ['i-0', 'i-1', 'i-2', 'i-3'].map(
        upstreamId => firstChoices.filter(first => first === upstreamId).length,
      );
      const shares = counts.map(count => (count * 8) / OBJECT_COUNT);
      const expected = [1, 1, 2, 4];
      for (const [index, share] of shares.entries())
        earl.expect(Math.abs(share - expected[index])).toBeLessThan(0.25);
    },
  );

  void test.it('moves only the objects of an upstream that is removed', () => {
    const before = createUpstreams([1, 1, 1, 1, 1]);
    const after = before.slice(0, 4);
    const firstChoices = getFirstChoices(before);
    const movedCount = getFirstChoices(after).filter(
      (first, index) =>
        first !== firstChoices[index] && firstChoices[index] !== 'i-4',
    ).length;
    earl.expect(movedCount).toEqual(0);
  });

  void test.it('ranks no upstream twice and none without weight', () => {
    const upstreams = createUpstreams([1, 0, 1, 1]);
    const ranked = decisions.rankUpstreams(upstreams, 7, 3);
    earl.expect(new Set(ranked).size).toEqual(3);
    earl.expect(ranked.includes('i-1')).toEqual(false);
  });
});
