import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as httpService from '../../../src/services/http/index.js';

const REQUEST = 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n';
const BEGUN_REQUEST = REQUEST.slice(0, 20);
const READ_MS = 50;

/** Opens a listener that answers each request, and connects a caller to it. */
async function withCaller(
  run: (
    listener: httpService.HttpListener,
    caller: net.Socket,
    readToEnd: () => Promise<string>,
  ) => Promise<void>,
): Promise<void> {
  const listener = new httpService.HttpListener(
    {host: '127.0.0.1', port: 0},
    (_request, response) => {
      response.setHeader('content-length', '2');
      response.end('ok');
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
  const closed = events.EventEmitter.once(caller, 'close');
  await accepted;
  try {
    await run(listener, caller, async () => {
      await closed;
      return received;
    });
  } finally {
    caller.destroy();
    listener.closeNow();
  }
}

void test.describe('HttpListener.close', {timeout: 30_000}, () => {
  void test.it(
    'answers a request that has arrived on a connection that was just accepted',
    async () => {
      const listener = new httpService.HttpListener(
        {host: '127.0.0.1', port: 0},
        (_request, response) => {
          response.setHeader('content-length', '2');
          response.end('ok');
        },
      );
      await listener.open();
      // The request waits in the accept queue; the close comes before the data of the connection is read.
      const closing = new Promise<void>(resolve =>
        listener.onConnection(() => resolve(listener.close())),
      );
      const caller = listener.connect();
      caller.on('error', () => undefined);
      let received = '';
      caller.on('data', chunk => (received += chunk.toString('latin1')));
      caller.write(REQUEST);
      await events.EventEmitter.once(caller, 'close');
      await closing;
      earl.expect(received).toInclude('200 OK');
    },
  );

  void test.it('answers a request of which a part has been read', async () => {
    await withCaller(async (listener, caller, readToEnd) => {
      caller.write(BEGUN_REQUEST);
      await timers.setTimeout(READ_MS);
      const closed = listener.close();
      caller.write(REQUEST.slice(BEGUN_REQUEST.length));
      earl.expect(await readToEnd()).toInclude('200 OK');
      await closed;
    });
  });

  void test.it(
    'answers a request behind an answer of which a part has been read',
    async () => {
      await withCaller(async (listener, caller, readToEnd) => {
        caller.write(REQUEST + BEGUN_REQUEST);
        await timers.setTimeout(READ_MS);
        const closed = listener.close();
        caller.write(REQUEST.slice(BEGUN_REQUEST.length));
        earl.expect((await readToEnd()).match(/200 OK/g)?.length).toEqual(2);
        await closed;
      });
    },
  );
});
