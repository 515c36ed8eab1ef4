import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

const PHASES: readonly number[] = [0, 0.25, 0.5, 0.75, 0.99];
const INTERVAL_MS = 1350;
const BOUND_MS = 3000;

/** How long a read of the store may take before it times out. */
const READ_TIMEOUT_MS = 900;

void test.describe('getOwnReadAtMs', () => {
  // Guards against reads of all followers at once when one announcement is late, and against reads that start too late.
  void test.it('spreads the reads of followers within the bound', () => {
    const delaysMs = PHASES.map(phase =>
      decisions.getOwnReadAtMs({
        currentAtMs: 0,
        triedAtMs: -Infinity,
        retryIntervalMs: 250,
        readerIntervalMs: INTERVAL_MS,
        maxDelayMs: BOUND_MS,
        isStoreUnavailable: false,
        phase,
      }),
    );
    earl.expect(delaysMs[0]).toEqual(INTERVAL_MS + 300);
    for (const [index, delayMs] of delaysMs.entries()) {
      earl.expect(delayMs + READ_TIMEOUT_MS).toBeLessThanOrEqual(BOUND_MS);
      if (index > 0) earl.expect(delayMs).toBeGreaterThan(delaysMs[index - 1]);
    }
  });
});
