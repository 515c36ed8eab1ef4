import * as test from 'node:test';
import * as earl from 'earl';
import * as excuses from './isExcusedLoss.js';
import type * as logs from './RequestLog.js';

/** A request whose connection closes 5.3 s after SIGTERM, before its time limit, when its upstream has ended. */
const LOST: logs.LostRequest = {
  requestId: 'q0',
  vm: 0,
  sentAtMs: 102_000,
  deadlineMs: 120_000,
  answer: undefined,
  endedAtMs: 104_000,
  closedAtMs: 105_300,
};

const OWN_ANSWER = {
  httpStatus: 502,
  requestId: '',
  isFromUpstream: false,
  isLast: true,
  isComplete: true,
};

const STOPS = [{vm: 0, signalledAtMs: 100_000}];

function isExcused(overrides: Partial<logs.LostRequest>): boolean {
  return excuses.isExcusedLoss({...LOST, ...overrides}, STOPS);
}

void test.describe('isExcusedLoss', () => {
  void test.it('excuses no loss of an answer that was ready', () => {
    earl.expect(isExcused({})).toEqual(false);
    earl.expect(isExcused({answer: OWN_ANSWER})).toEqual(false);
  });

  void test.it(
    'excuses an upstream at work at the end of the grace period',
    () => {
      earl.expect(isExcused({endedAtMs: 105_300})).toEqual(true);
      earl
        .expect(isExcused({endedAtMs: 105_300, answer: OWN_ANSWER}))
        .toEqual(true);
      earl.expect(isExcused({endedAtMs: 105_300, vm: 1})).toEqual(false);
      earl
        .expect(isExcused({endedAtMs: 105_300, sentAtMs: 103_100}))
        .toEqual(false);
    },
  );

  void test.it('excuses a time limit that was over', () => {
    earl.expect(isExcused({deadlineMs: 105_200})).toEqual(true);
    earl
      .expect(isExcused({deadlineMs: 105_200, answer: OWN_ANSWER}))
      .toEqual(false);
  });
});
