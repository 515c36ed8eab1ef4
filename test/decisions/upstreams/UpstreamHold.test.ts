import * as test from 'node:test';
import * as earl from 'earl';
import * as decisions from '../../../src/decisions/index.js';

const PAUSED: decisions.UpstreamHold = {kind: 'paused', untilMs: 500};
const LEAVING: decisions.UpstreamHold = {kind: 'leaving'};

void test.describe('UpstreamHold', () => {
  void test.it('lasts for as long as the longest pause asked for', () => {
    const first = decisions.extendPause(decisions.NO_HOLD, 400, 100);
    earl.expect(first).toEqual(PAUSED);
    earl.expect(decisions.extendPause(first, 100, 200)).toEqual(PAUSED);
    earl
      .expect(decisions.extendPause(first, 400, 200))
      .toEqual({kind: 'paused', untilMs: 600});
    earl.expect(decisions.isHeld(first, 499)).toEqual(true);
    earl.expect(decisions.isHeld(first, 500)).toEqual(false);
  });

  void test.it('ends for an upstream that leaves by no pause', () => {
    earl.expect(decisions.extendPause(LEAVING, 0, 0)).toEqual(LEAVING);
    earl.expect(decisions.isHeld(LEAVING, 1e12)).toEqual(true);
  });

  for (const pauseMs of [-1, NaN, Infinity, decisions.MAX_PAUSE_MS + 1])
    void test.it(`is not set by a pause of ${pauseMs} ms`, () => {
      const hold = decisions.extendPause(decisions.NO_HOLD, pauseMs, 0);
      earl.expect(hold).toEqual(decisions.NO_HOLD);
    });

  void test.it('tells when the first of only paused upstreams opens', () => {
    const later: decisions.UpstreamHold = {kind: 'paused', untilMs: 900};
    const get = (holds: readonly decisions.UpstreamHold[], nowMs = 0) =>
      decisions.getFirstPauseEndMs(holds, nowMs);
    earl.expect(get([later, LEAVING, PAUSED])).toEqual(500);
    earl.expect(get([later, decisions.NO_HOLD])).toEqual(undefined);
    earl.expect(get([later, PAUSED], 500)).toEqual(undefined);
    earl.expect(get([LEAVING])).toEqual(undefined);
    earl.expect(get([])).toEqual(undefined);
  });
});
