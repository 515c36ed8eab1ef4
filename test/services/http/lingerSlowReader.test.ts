import * as events from 'node:events';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as httpService from '../../../src/services/http/index.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n';

/** More than the receiver's buffer takes, and less than the sender's. */
const ANSWER = Buffer.alloc(1024 * 1024, 'y');

/** How long the caller leaves the answer unread; longer than a closed connection is read from. */
const UNREAD_MS = 2300;
const RESET_MS = 100;

void test.describe('a closing connection', {timeout: 30_000}, () => {
  void test.it(
    'is not reset before its caller has received the answer',
    async () => {
      const listener = new httpService.HttpListener(
        {host: '127.0.0.1', port: 0},
        (_request, response) => {
          response.setHeader('connection', 'close');
          response.end(ANSWER);
        },
      );
      await listener.open();
      const caller = listener.connect();
      caller.on('error', () => undefined);
      let receivedBytes = 0;
      caller.on('data', chunk => (receivedBytes += chunk.length));
      await events.EventEmitter.once(caller, 'connect');
      caller.pause();
      caller.write(REQUEST);
      await timers.setTimeout(UNREAD_MS);
      caller.write(REQUEST);
      await timers.setTimeout(RESET_MS);
      const closed = events.EventEmitter.once(caller, 'close');
      caller.resume();
      await closed;
      listener.closeNow();
      earl.expect(receivedBytes).toBeGreaterThan(ANSWER.length);
    },
  );
});
