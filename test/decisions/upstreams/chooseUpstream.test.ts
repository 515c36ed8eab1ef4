import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';

const SEED = 20261204;

function getView(
  upstreamId: string,
  change: Partial<decisions.UpstreamView> = {},
): decisions.UpstreamView {
  return {
    upstreamId,
    region: 'amman',
    distance: 'sameDomain',
    slotCount: 7,
    ownInFlightCount: 0,
    report: undefined,
    avoidance: {kind: 'none'},
    warmingSinceMs: -Infinity,
    ...change,
  };
}

function getInput(
  change: Partial<decisions.ChoiceInput> = {},
): decisions.ChoiceInput {
  return {triedIds: [], chooserCount: 1, randomA: 0, randomB: 0.99, ...change};
}

function choose(
  views: readonly decisions.UpstreamView[],
  nowMs = 0,
  change: Partial<decisions.ChoiceInput> = {},
): string {
  const choice = decisions.chooseUpstream(views, getInput(change), nowMs);
  return choice.kind === 'chosen' ? choice.upstreamId : choice.kind;
}

void test.describe('chooseUpstream', () => {
  void test.it('takes the less loaded of two near ones', () => {
    const views = [getView('a', {ownInFlightCount: 3}), getView('b')];
    earl.expect(choose(views)).toEqual('b');
  });

  void test.it('goes farther only when near ones are full', () => {
    const far = getView('far', {distance: 'sameRegion'});
    earl.expect(choose([getView('near'), far])).toEqual('near');
    const full = getView('near', {ownInFlightCount: 7});
    earl.expect(choose([full, far])).toEqual('far');
  });

  void test.it('leaves out those that failed or were tried', () => {
    const avoidance = {kind: 'failed', untilMs: 100, failedAtMs: 0} as const;
    const views = [getView('a', {avoidance}), getView('b')];
    earl.expect(choose(views, 50)).toEqual('b');
    earl.expect(choose(views, 50, {triedIds: ['b']})).toEqual('none');
    earl.expect(choose(views, 100, {triedIds: ['b']})).toEqual('a');
  });

  void test.it('refuses no request while an upstream can be reached', () => {
    const avoidance = {kind: 'failed', untilMs: 100, failedAtMs: 10} as const;
    const old = {busyCount: 0, ownInFlightCount: 0, askedAtMs: 5};
    const report = {...old, askedAtMs: 20};
    const failed = getView('failed', {avoidance, report: old});
    const reached = getView('reached', {avoidance, report});
    earl.expect(choose([failed], 50)).toEqual('none');
    earl.expect(choose([failed, reached], 50)).toEqual('reached');
    earl.expect(choose([reached, getView('open')], 50)).toEqual('open');
  });

  void test.it('tries an upstream that failed with one request', () => {
    const avoidance = {kind: 'failed', untilMs: 100, failedAtMs: 10} as const;
    const report = {busyCount: 1, ownInFlightCount: 1, askedAtMs: 20};
    const view = getView('a', {avoidance, report, ownInFlightCount: 1});
    earl.expect(choose([view], 50)).toEqual('none');
  });

  void test.it('sends nothing to an upstream that sheds', () => {
    const avoidance = {kind: 'shed', untilMs: 100} as const;
    const report = {busyCount: 0, ownInFlightCount: 0, askedAtMs: 20};
    const view = getView('a', {avoidance, report});
    earl.expect(choose([view], 50)).toEqual('none');
    earl.expect(choose([view], 100)).toEqual('a');
  });

  void test.it('believes a report less as it ages', () => {
    const report = {busyCount: 6, ownInFlightCount: 0, askedAtMs: 0};
    const views = [getView('a', {report}), getView('b', {ownInFlightCount: 2})];
    earl.expect(choose(views, 100)).toEqual('b');
    earl.expect(choose(views, 2900)).toEqual('a');
  });

  void test.it('gives a cold upstream a part of its slots', () => {
    const cold = getView('cold', {warmingSinceMs: 0, ownInFlightCount: 3});
    earl.expect(decisions.getUtilisation(cold, 0)).toBeGreaterThan(1);
    earl.expect(decisions.getUtilisation(cold, 4000)).toBeLessThan(1);
  });

  void test.it(
    'together, VMs that spill never fill another region over 0.8',
    () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.integer({min: 1, max: 7}),
          fastCheck.integer({min: 1, max: 24}),
          fastCheck.integer({min: 0, max: 7}),
          (vmCount, upstreamCount, busyCount) => {
            let sentCount = 0;
            for (let vm = 0; vm < vmCount; vm += 1)
              sentCount += spill(vmCount, upstreamCount, busyCount);
            const slotCount = upstreamCount * 7;
            const taken = busyCount * upstreamCount + sentCount;
            const before = busyCount * upstreamCount;
            const limit = Math.max(before, 0.8 * slotCount);
            return taken <= limit + vmCount;
          },
        ),
        {seed: SEED, numRuns: 500},
      );
    },
  );
});

/** Sends as much as one VM may into another region whose reports stand still. */
function spill(
  vmCount: number,
  upstreamCount: number,
  busyCount: number,
): number {
  const report = {busyCount, ownInFlightCount: 0, askedAtMs: 0};
  const own = new Map<string, number>();
  let sentCount = 0;
  for (;;) {
    const views = Array.from({length: upstreamCount}, (_, index) =>
      getView(String(index), {
        distance: 'otherRegion',
        report,
        ownInFlightCount: own.get(String(index)) ?? 0,
      }),
    );
    const random = (sentCount * 0.618) % 1;
    const chosen = choose(views, 0, {
      chooserCount: vmCount,
      randomA: random,
      randomB: (random + 0.5) % 1,
    });
    if (chosen === 'none' || chosen === 'full') return sentCount;
    own.set(chosen, (own.get(chosen) ?? 0) + 1);
    sentCount += 1;
  }
}
