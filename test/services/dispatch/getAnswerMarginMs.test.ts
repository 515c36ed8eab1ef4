import * as test from 'node:test';
import * as earl from 'earl';
import type * as entry from '../../../src/model/entry/index.js';
import * as margins from '../../../src/services/dispatch/getAnswerMarginMs.js';

const TIME_LIMIT_MS = 1200;

/** Gets the margin of a request that arrived at 0 and was read after a delay. */
function getMarginMs(readDelayMs: number, callerDeadlineMs: number): number {
  const head: entry.EntryRequestHead = {
    requestId: 'q',
    method: 'GET',
    host: 'a.example',
    target: '/look/x',
    headers: [],
    key: '',
    objectKey: '',
    arrivedAtMs: 0,
    readAtMs: readDelayMs,
    callerDeadlineMs,
  };
  return margins.getAnswerMarginMs(
    head,
    Math.min(TIME_LIMIT_MS, callerDeadlineMs),
  );
}

void test.describe('getAnswerMarginMs', () => {
  void test.it(
    'leaves time for the answer of an upstream that gives up',
    () => {
      earl.expect(getMarginMs(0, 3000)).toEqual(150);
    },
  );

  void test.it(
    'grows with the time that the request was read late, up to a bound',
    () => {
      earl.expect(getMarginMs(300, 3000)).toEqual(320);
      earl.expect(getMarginMs(900, 3000)).toEqual(470);
    },
  );

  void test.it('ends when no caller can wait any more', () => {
    earl.expect(getMarginMs(0, 1000)).toEqual(0);
    earl.expect(getMarginMs(300, 1000)).toEqual(300);
    earl.expect(getMarginMs(0, 1250)).toEqual(50);
  });
});
