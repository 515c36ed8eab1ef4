import * as events from 'node:events';
import * as stream from 'node:stream';
import * as test from 'node:test';
import * as earl from 'earl';
import * as streams from '../../../standins/store/writeWithoutEnd.js';

/** Pieces that go out before the stream fails. */
const TAKEN_COUNT = 3;

/** More pieces than could be written to a stream that has failed: those within its buffer. */
const MAX_COUNT = 100;

void test.describe('writeWithoutEnd', () => {
  // Guards against a test process that writes within one turn until its memory is used up.
  void test.it('stops when a write fails', async () => {
    let takenCount = 0;
    let writtenCount = 0;
    const output = new stream.Writable({
      write(_chunk, _encoding, callback) {
        takenCount += 1;
        setImmediate(() =>
          callback(takenCount > TAKEN_COUNT ? new Error('reset') : null),
        );
      },
    });
    const failed = events.EventEmitter.once(output, 'error');
    streams.writeWithoutEnd(output, 'x', () => {
      writtenCount += 1;
      if (writtenCount > MAX_COUNT) throw new Error('writes without end');
    });
    await failed;
    earl.expect(writtenCount).toEqual(TAKEN_COUNT + 1);
  });
});
