import * as test from 'node:test';
import * as earl from 'earl';
import * as fastCheck from 'fast-check';
import * as decisions from '../../../src/decisions/index.js';

const SEED = 20261204;

/** In each second, a cold upstream may receive 1.5 times its rate plus 5 requests. */
const MAX_RATE_RATIO = 1.5;
const EXTRA_REQUESTS = 5;

/** Gets the times at which VMs that always have a pending request send to an upstream that has just become cold. */
function getSendTimes(
  randoms: readonly number[],
  ratePerSecond: number,
  termMs: number,
): readonly number[] {
  const rate = ratePerSecond / randoms.length;
  const sendTimesMs: number[] = [];
  for (const random of randoms) {
    let bucket = decisions.createColdStartBucket(random, 0);
    for (let nowMs = 0; nowMs <= termMs; nowMs += 5) {
      bucket = decisions.refillColdStartBucket(bucket, rate, nowMs);
      if (!decisions.hasColdStartToken(bucket)) continue;
      bucket = decisions.consumeColdStartToken(bucket);
      sendTimesMs.push(nowMs);
    }
  }
  return sendTimesMs.sort((a, b) => a - b);
}

function getMaxRequestsPerSecond(sendTimesMs: readonly number[]): number {
  let maxCount = 0;
  let from = 0;
  for (const [index, sentAtMs] of sendTimesMs.entries()) {
    while (sendTimesMs[from] <= sentAtMs - 1000) from += 1;
    maxCount = Math.max(maxCount, index - from + 1);
  }
  return maxCount;
}

void test.describe('cold start pacing', () => {
  void test.it(
    'keeps 7, 37 and 300 VMs together within the bound in each second',
    () => {
      for (const vmCount of [7, 37, 300])
        fastCheck.assert(
          fastCheck.property(
            fastCheck.array(
              fastCheck.double({
                min: 0,
                max: 1,
                maxExcluded: true,
                noNaN: true,
                noDefaultInfinity: true,
              }),
              {minLength: vmCount, maxLength: vmCount},
            ),
            fastCheck.constantFrom(3.4, 6.6, 11),
            (offsets, ratePerSecond) => {
              // Places one value in each of `vmCount` equal intervals, since the random numbers of VMs spread evenly.
              const randoms = offsets.map(
                (value, index) => (index + value) / vmCount,
              );
              const maxCount = getMaxRequestsPerSecond(
                getSendTimes(randoms, ratePerSecond, 3000),
              );
              earl
                .expect(maxCount)
                .toBeLessThanOrEqual(
                  ratePerSecond * MAX_RATE_RATIO + EXTRA_REQUESTS,
                );
            },
          ),
          {seed: SEED, numRuns: vmCount > 100 ? 10 : 100},
        );
    },
  );
});
