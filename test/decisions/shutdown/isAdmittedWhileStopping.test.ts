import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

const STOPPING: decisions.Lifecycle = {
  kind: 'stopping',
  steersAwayUntilMs: 3000,
  lastDeadlineMs: 5000,
};

void test.describe('isAdmittedWhileStopping', () => {
  const cases = [
    ['atMostOnce', 5000, 4900, true],
    ['atMostOnce', 5001, 0, false],
    ['idempotent', 5000, 4900, true],
    ['idempotent', 20_000, 2999, true],
    ['idempotent', 20_000, 3000, false],
  ] as const;
  for (const [execution, deadlineMs, nowMs, isAdmitted] of cases)
    void test.it(
      `${isAdmitted ? 'admits' : 'refuses'} at ${nowMs} ms one of kind ${execution} with its deadline at ${deadlineMs} ms`,
      () => {
        const request = {execution, deadlineMs};
        earl
          .expect(decisions.isAdmittedWhileStopping(STOPPING, request, nowMs))
          .toEqual(isAdmitted);
        earl
          .expect(
            decisions.isAdmittedWhileStopping(
              {kind: 'running'},
              request,
              nowMs,
            ),
          )
          .toEqual(true);
      },
    );
});
