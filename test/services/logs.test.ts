import * as test from 'node:test';
import * as earl from 'earl';
import * as limiters from '../../src/services/logs/LineRateLimiter.js';

const MAX_LINES_PER_SECOND = 100;

void test.describe('LineRateLimiter', () => {
  void test.it(
    'limits the lines of an event per second and counts the dropped lines',
    () => {
      const limiter = new limiters.LineRateLimiter();
      let writtenCount = 0;
      for (let index = 0; index < 1000; index++)
        if (limiter.decide('requestRefused', index / 2).kind === 'write')
          writtenCount += 1;
      earl.expect(writtenCount).toEqual(MAX_LINES_PER_SECOND);
      earl.expect(limiter.decide('daemonStarted', 500).kind).toEqual('write');
      earl.expect(limiter.decide('requestRefused', 1000)).toEqual({
        kind: 'writeAfterDrops',
        droppedCount: 900,
      });
      earl.expect(limiter.decide('requestRefused', 1001).kind).toEqual('write');
    },
  );
});
