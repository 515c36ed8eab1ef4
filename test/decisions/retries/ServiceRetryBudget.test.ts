import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';

const SEED = 20261204;

/** The minimum of retries per request while upstreams refuse every second request; the bound is 0.2. */
const MIN_RETRY_RATIO = 0.17;
const BOUNDS: decisions.RetryBounds = {
  ratio: 0.2,
  slack: 60,
  windowMs: 10_000,
  memberCount: 7,
};

void test.describe('ServiceRetryBudget', () => {
  void test.it(
    'keeps the retries of the fleet within the bound while every request fails and VMs restart',
    () => {
      fastCheck.assert(
        fastCheck.property(
          fastCheck.array(fastCheck.nat({max: 40}), {
            minLength: 200,
            maxLength: 800,
          }),
          gapsMs => {
            const requests: number[] = [];
            const retryTimesMs: number[] = [];
            for (let vm = 0; vm < BOUNDS.memberCount; vm++) {
              let nowMs = 0;
              let budget = decisions.createServiceRetryBudget(BOUNDS, nowMs);
              for (const [index, gapMs] of gapsMs.entries()) {
                nowMs += gapMs;
                if (index === Math.floor(gapsMs.length / 2))
                  budget = decisions.createServiceRetryBudget(BOUNDS, nowMs);
                requests.push(nowMs);
                budget = decisions.earnServiceRetries(budget, BOUNDS, nowMs);
                if (!decisions.isServiceRetryAllowed(budget)) continue;
                budget = decisions.spendServiceRetry(budget);
                retryTimesMs.push(nowMs);
              }
            }
            for (const windowEndMs of retryTimesMs) {
              const isInWindow = (atMs: number) =>
                atMs <= windowEndMs && atMs > windowEndMs - BOUNDS.windowMs;
              earl
                .expect(retryTimesMs.filter(isInWindow).length)
                .toBeLessThanOrEqual(
                  BOUNDS.ratio * requests.filter(isInWindow).length +
                    BOUNDS.slack,
                );
            }
          },
        ),
        {seed: SEED, numRuns: 40},
      );
    },
  );

  void test.it(
    'allows most of the retries within the bound while upstreams refuse requests',
    () => {
      // One VM receives 60 requests per second, and upstreams refuse the first attempt of half of them, as under the
      // highest expected load.
      let budget = decisions.createServiceRetryBudget(BOUNDS, 0);
      let retryCount = 0;
      const requestCount = 500;
      for (let index = 0; index < requestCount; index++) {
        budget = decisions.earnServiceRetries(
          budget,
          BOUNDS,
          (index * 1000) / 60,
        );
        if (index % 2 === 0 || !decisions.isServiceRetryAllowed(budget))
          continue;
        budget = decisions.spendServiceRetry(budget);
        retryCount += 1;
      }
      earl.expect(retryCount / requestCount).toBeGreaterThan(MIN_RETRY_RATIO);
    },
  );
});
