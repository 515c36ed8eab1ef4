import * as test from 'node:test';
import * as earl from 'earl';
import * as http from '../../../src/services/http/index.js';
import * as delays from '../../../src/services/entry/LoopDelay.js';

const DUE_MS = delays.LOOP_TICK_MS;
const LATE_MS = DUE_MS + 900;

void test.describe('LoopDelay', () => {
  void test.it('takes requests for new while ticks come on time', () => {
    const delay = new delays.LoopDelay(0);
    earl.expect(delay.getArrivalMs(DUE_MS - 1)).toEqual(DUE_MS - 1);
    earl.expect(delay.noteTick(DUE_MS)).toEqual(0);
    earl.expect(delay.getArrivalMs(DUE_MS + 9)).toEqual(DUE_MS + 9);
  });

  void test.it('dates them by the tick that did not come', () => {
    const delay = new delays.LoopDelay(0);
    earl.expect(delay.getArrivalMs(LATE_MS)).toEqual(DUE_MS);
  });

  void test.it('dates what is read right after a late tick alike', async () => {
    const delay = new delays.LoopDelay(0);
    earl.expect(delay.noteTick(LATE_MS)).toEqual(LATE_MS - DUE_MS);
    earl.expect(delay.getArrivalMs(LATE_MS + 5)).toEqual(DUE_MS);
    await new http.ReadBarrier().wait();
    earl.expect(delay.getArrivalMs(LATE_MS + 5)).toEqual(LATE_MS + 5);
  });
});
