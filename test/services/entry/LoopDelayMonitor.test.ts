import * as test from 'node:test';
import * as earl from 'earl';
import * as http from '../../../src/services/http/index.js';
import * as loopDelays from '../../../src/services/entry/LoopDelayMonitor.js';

const FIRST_TICK_MS = loopDelays.LOOP_TICK_INTERVAL_MS;
const LATE_TICK_MS = FIRST_TICK_MS + 900;

void test.describe('LoopDelayMonitor', () => {
  void test.it('returns the current time while ticks are on time', () => {
    const monitor = new loopDelays.LoopDelayMonitor(0);
    earl
      .expect(monitor.getEarliestArrivalMs(FIRST_TICK_MS - 1))
      .toEqual(FIRST_TICK_MS - 1);
    earl.expect(monitor.recordTick(FIRST_TICK_MS)).toEqual(0);
    earl
      .expect(monitor.getEarliestArrivalMs(FIRST_TICK_MS + 9))
      .toEqual(FIRST_TICK_MS + 9);
  });

  void test.it('returns the due time of an overdue tick', () => {
    const monitor = new loopDelays.LoopDelayMonitor(0);
    earl
      .expect(monitor.getEarliestArrivalMs(LATE_TICK_MS))
      .toEqual(FIRST_TICK_MS);
  });

  void test.it(
    'returns the due time of a late tick until the data behind it is read',
    async () => {
      const monitor = new loopDelays.LoopDelayMonitor(0);
      earl
        .expect(monitor.recordTick(LATE_TICK_MS))
        .toEqual(LATE_TICK_MS - FIRST_TICK_MS);
      earl
        .expect(monitor.getEarliestArrivalMs(LATE_TICK_MS + 5))
        .toEqual(FIRST_TICK_MS);
      await new http.ReadBarrier().wait();
      earl
        .expect(monitor.getEarliestArrivalMs(LATE_TICK_MS + 5))
        .toEqual(LATE_TICK_MS + 5);
    },
  );
});
