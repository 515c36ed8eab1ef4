import * as events from 'node:events';
import * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import type * as peers from '../../../src/model/peers/index.js';
import * as services from '../../../src/services/index.js';
import * as streams from '../../../standins/store/writeUntilClosed.js';
import * as stubs from '../../support/services/StubTask.js';
import * as cuts from '../../support/upstreams/getCutOffAnswers.js';
import * as closing from '../../support/upstreams/withClosingUpstream.js';

const SECRET = 'secret';
const CALL_TIMEOUT_MS = 5000;
const LENT_COUNT = 3;

/** How long an answer takes that arrives slowly, and in how many pieces it arrives. */
const SLOW_ANSWER_MS = 1000;
const PIECE_COUNT = 10;

/** Answers a call that wants rows, in pieces over SLOW_ANSWER_MS. */
async function answerSlowly(
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  const pieces: Buffer[] = [];
  for await (const piece of request) pieces.push(piece as Buffer);
  const {id} = JSON.parse(Buffer.concat(pieces).toString('utf8')) as {
    readonly id: number;
  };
  const result: peers.PeerAnswer = {kind: 'knowledge'};
  const text = JSON.stringify({jsonrpc: '2.0', id, result});
  const length = Math.ceil(text.length / PIECE_COUNT);
  for (let from = 0; from < text.length; from += length) {
    response.write(text.slice(from, from + length));
    await timers.setTimeout(SLOW_ANSWER_MS / PIECE_COUNT);
  }
  response.end();
}

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
  // The version and the status; the reason phrase after them has no meaning.
  return received.split(' ', 2).join(' ');
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

  // Guards against giving up large answers that arrive slowly, and asking for them again from the start.
  void test.it('waits for an answer while it arrives', async () => {
    const server = http.createServer((request, response) => {
      void answerSlowly(request, response);
    });
    server.listen(0, '127.0.0.1');
    await events.EventEmitter.once(server, 'listening');
    const {port} = server.address() as net.AddressInfo;
    const daemon = await startDaemon();
    const callSlow = async (lastDeadlineMs: number) =>
      await daemon
        .getOrThrow(services.PEERS)
        .ask<services.CallResult>(reply => ({
          kind: 'call',
          peersAddress: `127.0.0.1:${port}`,
          request: {kind: 'getKnowledge'},
          deadlineMs: performance.now() + SLOW_ANSWER_MS / 2,
          lastDeadlineMs,
          reply,
        }));
    try {
      const patient = await callSlow(performance.now() + 4 * SLOW_ANSWER_MS);
      earl.expect(patient.kind).toEqual('answered');
      const hasty = await callSlow(performance.now() + SLOW_ANSWER_MS / 2);
      earl.expect(hasty.kind).toEqual('failed');
    } finally {
      await daemon.stop();
      server.closeAllConnections();
      server.close();
    }
  });

  // Guards against half of a peer's answer because an answer without a length was cut off.
  void test.it('does not use an answer that is cut off', async () => {
    const daemon = await startDaemon();
    const callCutOff = async (peersAddress: string) =>
      await daemon
        .getOrThrow(services.PEERS)
        .ask<services.CallResult>(reply => ({
          kind: 'call',
          peersAddress,
          request: {kind: 'getKnowledge'},
          deadlineMs: performance.now() + CALL_TIMEOUT_MS,
          reply,
        }));
    const result: peers.PeerAnswer = {kind: 'knowledge'};
    try {
      const body = JSON.stringify({jsonrpc: '2.0', id: 1, result});
      for (const answer of cuts.getCutOffAnswers(body))
        await closing.withClosingUpstream(answer, 'reset', async address => {
          earl.expect((await callCutOff(address)).kind).toEqual('failed');
        });
    } finally {
      await daemon.stop();
    }
  });
});
