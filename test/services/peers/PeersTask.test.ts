import * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import type * as peers from '../../../src/model/peers/index.js';
import * as services from '../../../src/services/index.js';
import * as streams from '../../../standins/store/writeUntilClosed.js';
import * as stubs from '../../support/services/StubTask.js';

const SECRET = 'secret';
const CALL_TIMEOUT_MS = 5000;
const LENT_COUNT = 3;

/** Starts the peers service with a shares service that lends LENT_COUNT requests. */
async function startDaemon(): Promise<kernel.Kernel> {
  const shares = new stubs.StubTask<services.SharesMessage>(message => {
    if (message.kind === 'lend') message.reply(LENT_COUNT);
  });
  const daemon = new kernel.Kernel()
    .add(services.LOG, new stubs.StubTask<services.LogMessage>())
    .add(services.METRICS, new stubs.StubTask<services.MetricsMessage>())
    .add(services.SHARES, shares)
    .add(
      services.PEERS,
      new services.PeersTask({host: '127.0.0.1', port: 0}, SECRET),
    );
  await daemon.start();
  return daemon;
}

async function getPeersAddress(daemon: kernel.Kernel): Promise<string> {
  return await daemon
    .getOrThrow(services.PEERS)
    .ask<string>(reply => ({kind: 'getAddress', reply}));
}

async function call(
  from: kernel.Kernel,
  to: kernel.Kernel,
  request: peers.PeerRequest,
): Promise<services.CallResult> {
  const peersAddress = await getPeersAddress(to);
  return await from
    .getOrThrow(services.PEERS)
    .ask<services.CallResult>(reply => ({
      kind: 'call',
      peersAddress,
      request,
      deadlineMs: performance.now() + CALL_TIMEOUT_MS,
      reply,
    }));
}

/** Sends a body without end in chunks of one byte; returns the status line of the answer once the connection closes. */
async function sendSmallChunks(
  peersAddress: string,
  secret: string,
): Promise<string> {
  const [host, port] = peersAddress.split(':');
  const socket = net.connect(Number(port), host);
  let received = '';
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => {});
  socket.write(
    `POST /rpc HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${secret}\r\ntransfer-encoding: chunked\r\n\r\n`,
  );
  streams.writeUntilClosed(socket, '1\r\n \r\n'.repeat(10_000), () => {});
  await new Promise(resolve => socket.once('close', resolve));
  return received.split('\r\n')[0].trim();
}

void test.describe('PeersTask', {timeout: 60_000}, () => {
  void test.it('lends requests to another daemon', async () => {
    const daemons = [await startDaemon(), await startDaemon()];
    const [borrower, lender] = daemons;
    try {
      const result = await call(borrower, lender, {
        kind: 'borrowRequests',
        organisationId: 'rustavi',
        wantedCount: 5,
      });
      earl.expect(result).toEqual({
        kind: 'answered',
        answer: {kind: 'lent', lentCount: LENT_COUNT},
      });
    } finally {
      await Promise.all(daemons.map(daemon => daemon.stop()));
    }
  });

  // Guards against a request of a peer that takes the memory or the processor time of a VM.
  for (const [secret, expected] of [
    [SECRET, 'HTTP/1.1 400'],
    ['unknown', 'HTTP/1.1 401'],
  ])
    void test.it(`ends a request without end: ${expected}`, async () => {
      const daemon = await startDaemon();
      try {
        const peersAddress = await getPeersAddress(daemon);
        earl
          .expect(await sendSmallChunks(peersAddress, secret))
          .toEqual(expected);
      } finally {
        await daemon.stop();
      }
    });
});
