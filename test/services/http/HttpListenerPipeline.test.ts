import * as events from 'node:events';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as httpService from '../../../src/services/http/index.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n';
const WORK_MS = 50;

void test.describe('a pipeline of a listener', {timeout: 30_000}, () => {
  void test.it('is answered to its end while the listener closes', async () => {
    let runCount = 0;
    const listener = new httpService.HttpListener(
      {host: '127.0.0.1', port: 0},
      (_request, response) => {
        runCount += 1;
        response.setHeader('content-length', '2');
        void timers.setTimeout(WORK_MS).then(() => response.end('ok'));
      },
    );
    await listener.open();
    const accepted = new Promise<void>(resolve =>
      listener.onConnection(() => resolve()),
    );
    const caller = listener.connect();
    caller.on('error', () => undefined);
    let received = '';
    caller.on('data', chunk => (received += chunk.toString('latin1')));
    await accepted;
    const closed = listener.close();
    caller.write(REQUEST + REQUEST);
    await events.EventEmitter.once(caller, 'close');
    await closed;
    earl.expect(runCount).toEqual(2);
    earl.expect(received.match(/200 OK/g)?.length).toEqual(2);
  });
});
