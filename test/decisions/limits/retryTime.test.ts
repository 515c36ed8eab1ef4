import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

const NOW_MS = 1000;
const LIMITS: decisions.BucketLimits = {
  ratePerSecond: 6,
  burstTokens: 6,
  slotCount: 3,
};

/** Returns a bucket with the given number of controlled shares, each of a third of the limits. */
function getBucket(
  shareCount: number,
  change: Partial<decisions.BucketState> = {},
): decisions.BucketState {
  return {
    ...decisions.getEmptyBucket(NOW_MS),
    shares: Array.from({length: shareCount}, (_, slotIndex) => ({
      slotIndex,
      origin: 'controlled',
      lenderProcessId: '',
      fromMs: 0,
      untilMs: Infinity,
    })),
    ...change,
  };
}

function getRetryAtMs(
  state: decisions.BucketState,
  event: decisions.BucketEvent,
): number | undefined {
  const {outcome} = decisions.applyBucketEvent(state, LIMITS, event, NOW_MS);
  return outcome.kind === 'refused' ? outcome.retryAtMs : undefined;
}

void test.describe('the retry time of a refused request', () => {
  void test.it(
    'follows from the rate of the shares that the bucket has',
    () => {
      const admit: decisions.BucketEvent = {kind: 'admit', tokens: 1};
      earl.expect(getRetryAtMs(getBucket(3), admit)).toEqual(NOW_MS + 1000 / 6);
      earl.expect(getRetryAtMs(getBucket(1), admit)).toEqual(NOW_MS + 500);
    },
  );

  void test.it(
    'is the end of a grant when grants hold what the shares can',
    () => {
      const grants = [{grantId: 'g', tokens: 1.5, deadlineMs: NOW_MS + 300}];
      const state = getBucket(1, {levelTokens: 1.8, grants});
      const event: decisions.BucketEvent = {
        kind: 'grant',
        grantId: 'h',
        tokens: 1,
        deadlineMs: NOW_MS + 200,
      };
      earl.expect(getRetryAtMs(state, event)).toEqual(NOW_MS + 300);
    },
  );

  void test.it('is the return of a share when the bucket has none', () => {
    const lent = [
      {
        slotIndex: 0,
        borrowerProcessId: 'p',
        loanSequence: 1,
        deadlineMs: NOW_MS + 700,
      },
    ];
    const retryAtMs = getRetryAtMs(getBucket(0, {lent}), {
      kind: 'admit',
      tokens: 1,
    });
    earl.expect(retryAtMs).toEqual(NOW_MS + 700);
  });
});
