import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as http from '../../../src/services/http/index.js';

const TIMEOUT_MS = 20;

/** Calls `run` with both ends of a connection. */
async function withConnection(
  run: (socket: net.Socket, peer: net.Socket) => Promise<void>,
): Promise<void> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const accepted = new Promise<net.Socket>(resolve =>
    server.once('connection', resolve),
  );
  const socket = net.connect((server.address() as net.AddressInfo).port);
  const peer = await accepted;
  try {
    await run(socket, peer);
  } finally {
    socket.destroy();
    peer.destroy();
    server.close();
  }
}

/** Blocks the event loop. */
function block(forMs: number): void {
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs);
}

void test.describe('ReadTimer', () => {
  void test.it(
    'runs the action after data that arrived in time is read',
    async () => {
      await withConnection(async (socket, peer) => {
        const events: string[] = [];
        socket.on('data', () => events.push('read'));
        await new Promise<void>(resolve => {
          new http.ReadTimer(TIMEOUT_MS, () => {
            events.push('over');
            resolve();
          });
          peer.write('x');
          block(2 * TIMEOUT_MS);
        });
        earl.expect(events).toEqual(['read', 'over']);
      });
    },
  );

  void test.it(
    'does not abort after the data that was read cancels it',
    async () => {
      await withConnection(async (socket, peer) => {
        const timeout = new http.ReadTimeout(TIMEOUT_MS);
        socket.on('data', () => timeout.cancel());
        peer.write('x');
        block(2 * TIMEOUT_MS);
        await timers.setTimeout(TIMEOUT_MS);
        earl.expect(timeout.signal.aborted).toEqual(false);
      });
    },
  );

  void test.it('expires at once if the timeout is 0 or negative', async () => {
    await new Promise<void>(resolve => new http.ReadTimer(-1, resolve));
    const timeout = new http.ReadTimeout(0);
    await new Promise(resolve =>
      timeout.signal.addEventListener('abort', resolve),
    );
  });
});
