import * as test from 'node:test';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import type * as peers from '../../../src/model/peers/index.js';
import * as services from '../../../src/services/index.js';
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

async function call(
  from: kernel.Kernel,
  to: kernel.Kernel,
  request: peers.PeerRequest,
): Promise<services.CallResult> {
  const peersAddress = await to
    .getOrThrow(services.PEERS)
    .ask<string>(reply => ({kind: 'getAddress', reply}));
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
});
