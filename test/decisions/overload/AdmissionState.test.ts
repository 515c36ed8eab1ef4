import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';
import * as base from '../../../src/services/base/index.js';

/** Processor time in milliseconds that a VM of the first deployments has per second. */
const PROCESSOR_MS_PER_SECOND = 540;

/** Processor time in milliseconds to serve or to refuse a request on a new connection. */
const SERVED_COST_MS = 1.07;
const REFUSED_COST_MS = 0.55;

/** The length of the listen queue; connections beyond it are dropped. */
const MAX_WAITING_CONNECTIONS = 128;

/** The highest load in requests a second at which the VM can serve all requests. */
const CAPACITY_PER_SECOND = PROCESSOR_MS_PER_SECOND / SERVED_COST_MS;

const DURATION_MS = 20_000;

/** An answer is useful if the request waits no longer than this many milliseconds in the queue. */
const MAX_USEFUL_DELAY_MS = 200;

/** The lowest acceptable rate of useful answers at any load, as a fraction of the capacity. */
const MIN_USEFUL_FRACTION = 0.5;

/**
 * Simulates a VM that processes evenly spaced requests in order of arrival. Returns the rate of useful answers in
 * requests a second.
 */
function getUsefulPerSecond(loadPerSecond: number): number {
  const random = new base.RandomSource(7);
  const waiting: number[] = [];
  let state = decisions.createAdmissionState(0);
  let nextArrivalMs = 0;
  let usefulCount = 0;
  for (let nowMs = 0; nowMs < DURATION_MS;) {
    for (; nextArrivalMs <= nowMs; nextArrivalMs += 1000 / loadPerSecond)
      if (waiting.length < MAX_WAITING_CONNECTIONS) waiting.push(nextArrivalMs);
    const arrivedAtMs = waiting.shift();
    if (arrivedAtMs === undefined) {
      nowMs = nextArrivalMs;
      continue;
    }
    const queueDelayMs = nowMs - arrivedAtMs;
    state = decisions.recordQueueDelay(state, queueDelayMs, nowMs);
    const isAdmitted = decisions.isAdmitted(state, random.draw());
    if (isAdmitted && queueDelayMs <= MAX_USEFUL_DELAY_MS) usefulCount += 1;
    nowMs +=
      ((isAdmitted ? SERVED_COST_MS : REFUSED_COST_MS) * 1000) /
      PROCESSOR_MS_PER_SECOND;
  }
  return (usefulCount * 1000) / DURATION_MS;
}

void test.describe('admission control', () => {
  for (const load of [1, 2, 4, 8])
    void test.it(
      `serves at least half of its capacity in time at ${load} times the capacity`,
      () => {
        earl
          .expect(getUsefulPerSecond(load * CAPACITY_PER_SECOND))
          .toBeGreaterThan(MIN_USEFUL_FRACTION * CAPACITY_PER_SECOND);
      },
    );

  void test.it('refuses no requests during a pause or a burst', () => {
    let state = decisions.createAdmissionState(0);
    for (let nowMs = 1000; nowMs < 1400; nowMs += 5)
      state = decisions.recordQueueDelay(state, 1000, nowMs);
    for (let nowMs = 1400; nowMs < 3000; nowMs += 5)
      state = decisions.recordQueueDelay(state, 1, nowMs);
    earl.expect(state.takenPart).toEqual(1);
    for (let pauseMs = 4000; pauseMs < 9000; pauseMs += 1000) {
      for (let nowMs = pauseMs; nowMs < pauseMs + 50; nowMs += 5)
        state = decisions.recordQueueDelay(state, 900, nowMs);
      earl.expect(state.takenPart).toEqual(1);
    }
  });

  void test.it('admits all requests again after the overload', () => {
    let state = decisions.createAdmissionState(0);
    for (let nowMs = 0; nowMs < 5000; nowMs += 10)
      state = decisions.recordQueueDelay(state, 400, nowMs);
    earl.expect(state.takenPart).toBeLessThan(1);
    for (let nowMs = 5000; nowMs < 8000; nowMs += 10)
      state = decisions.recordQueueDelay(state, 1, nowMs);
    earl.expect(state.takenPart).toEqual(1);
  });
});
