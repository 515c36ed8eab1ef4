import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

const OBJECT_COUNT = 6000;

function getUpstreams(
  weights: readonly number[],
): readonly decisions.RankedUpstream[] {
  return weights.map((weight, index) => {
    const upstreamId = `i-${index}`;
    return {upstreamId, hash: decisions.getHash(upstreamId), weight};
  });
}

function getFirsts(
  upstreams: readonly decisions.RankedUpstream[],
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
  void test.it('gives each upstream its weight of the objects', () => {
    const firsts = getFirsts(getUpstreams([1, 1, 2, 4]));
    const counts = ['i-0', 'i-1', 'i-2', 'i-3'].map(
      upstreamId => firsts.filter(first => first === upstreamId).length,
    );
    const shares = counts.map(count => (count * 8) / OBJECT_COUNT);
    const expected = [1, 1, 2, 4];
    for (const [index, share] of shares.entries())
      earl.expect(Math.abs(share - expected[index])).toBeLessThan(0.25);
  });

  void test.it('moves only the objects of an upstream that leaves', () => {
    const before = getUpstreams([1, 1, 1, 1, 1]);
    const after = before.slice(0, 4);
    const firsts = getFirsts(before);
    const movedCount = getFirsts(after).filter(
      (first, index) => first !== firsts[index] && firsts[index] !== 'i-4',
    ).length;
    earl.expect(movedCount).toEqual(0);
  });

  void test.it('names no upstream twice and none without weight', () => {
    const upstreams = getUpstreams([1, 0, 1, 1]);
    const ranked = decisions.rankUpstreams(upstreams, 7, 3);
    earl.expect(new Set(ranked).size).toEqual(3);
    earl.expect(ranked.includes('i-1')).toEqual(false);
  });
});
