import * as events from 'node:events';
import * as stream from 'node:stream';
import * as test from 'node:test';
import * as earl from 'earl';
import * as streams from '../../../standins/store/writeUntilClosed.js';

/** The number of writes that succeed before the stream fails. */
const SUCCESSFUL_WRITE_COUNT = 3;

/** More writes than a failed stream could still accept into its buffer. */
const MAX_WRITE_COUNT = 100;

void test.describe('writeUntilClosed', () => {
  // Guards against writing on from the callback of a failed write: all these writes would fail in the same turn of the
  // event loop, until the process runs out of memory.
  void test.it('stops when a write fails', async () => {
    let attemptCount = 0;
    let writtenCount = 0;
    const output = new stream.Writable({
      write(_chunk, _encoding, callback) {
        attemptCount += 1;
        setImmediate(() =>
          callback(
            attemptCount > SUCCESSFUL_WRITE_COUNT ? new Error('reset') : null,
          ),
        );
      },
    });
    const failed = events.EventEmitter.once(output, 'error');
    streams.writeUntilClosed(output, 'x', () => {
      writtenCount += 1;
      if (writtenCount > MAX_WRITE_COUNT)
        throw new Error('kept writing after the stream had failed');
    });
    await failed;
    earl.expect(writtenCount).toEqual(SUCCESSFUL_WRITE_COUNT + 1);
  });
});
