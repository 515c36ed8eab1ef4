import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as http from '../../../src/services/http/index.js';

const TERM_MS = 20;

/** Runs with both ends of a connection. */
async function withConnection(
  run: (near: net.Socket, far: net.Socket) => Promise<void>,
): Promise<void> {
  const server = net.createServer();
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const accepted = new Promise<net.Socket>(resolve =>
    server.once('connection', resolve),
  );
  const near = net.connect((server.address() as net.AddressInfo).port);
  const far = await accepted;
  try {
    await run(near, far);
  } finally {
    near.destroy();
    far.destroy();
    server.close();
  }
}

/** Keeps the process busy. */
function block(forMs: number): void {
  const endMs = performance.now() + forMs;
  while (performance.now() < endMs);
}

void test.describe('ReadTimer', () => {
  void test.it('acts after what came in time was read', async () => {
    await withConnection(async (near, far) => {
      const events: string[] = [];
      near.on('data', () => events.push('read'));
      await new Promise<void>(resolve => {
        new http.ReadTimer(TERM_MS, () => {
          events.push('over');
          resolve();
        });
        far.write('x');
        block(2 * TERM_MS);
      });
      earl.expect(events).toEqual(['read', 'over']);
    });
  });

  void test.it(
    'does nothing once it is cancelled by what it read',
    async () => {
      await withConnection(async (near, far) => {
        const timeout = new http.ReadTimeout(TERM_MS);
        near.on('data', () => timeout.cancel());
        far.write('x');
        block(2 * TERM_MS);
        await timers.setTimeout(TERM_MS);
        earl.expect(timeout.signal.aborted).toEqual(false);
      });
    },
  );

  void test.it('ends a term of nothing, too', async () => {
    await new Promise<void>(resolve => new http.ReadTimer(-1, resolve));
    const timeout = new http.ReadTimeout(0);
    await new Promise(resolve =>
      timeout.signal.addEventListener('abort', resolve),
    );
  });
});
