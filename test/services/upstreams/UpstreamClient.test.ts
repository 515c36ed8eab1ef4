import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as clients from '../../../src/services/upstreams/UpstreamClient.js';
import * as upstreams from '../../../standins/store/PublishedUpstream.js';
import * as cuts from '../../support/upstreams/withCutAnswer.js';
import * as refusals from '../../support/upstreams/withRefusals.js';

function getSending(requestId: string): clients.Sending {
  return {
    request: {
      requestId,
      method: 'GET',
      target: '/look/x',
      headers: [],
      body: new Uint8Array(),
      key: '',
      idempotencyKey: '',
    },
    organisationId: '',
    deadlineMs: Date.now() + 20_000,
    remainingMs: 20_000,
    mayStart: () => true,
    abandoned: new AbortController().signal,
  };
}

/** Sends requests one after the other to an upstream that repeats its first refusal. */
async function sendToRefusals(
  getRefusal: (requestId: string) => string,
  requestIds: readonly string[],
): Promise<readonly clients.SendResult['kind'][]> {
  const kinds: clients.SendResult['kind'][] = [];
  await refusals.withRefusals(getRefusal, async address => {
    const client = new clients.UpstreamClient('i-0', address);
    for (const requestId of requestIds) {
      kinds.push((await client.send(getSending(requestId))).kind);
      // The connection is free for the next request once the turn of its answer is over.
      await timers.setImmediate();
    }
    await client.close();
  });
  return kinds;
}

async function send(
  mode: upstreams.UpstreamMode,
  mayStart = () => true,
): Promise<clients.SendResult['kind']> {
  const upstream = new upstreams.PublishedUpstream('i-0');
  upstream.mode = mode;
  const client = new clients.UpstreamClient('i-0', await upstream.open());
  try {
    const result = await client.send({...getSending('q'), mayStart});
    return result.kind;
  } finally {
    upstream.close();
    await client.close();
  }
}

void test.describe('UpstreamClient', {timeout: 60_000}, () => {
  // Guards against part of an answer that passes for the whole one.
  for (const mode of ['unframedReset', 'unframedResetAtOnce'] as const)
    void test.it(
      `takes no part of an answer for whole with ${mode}`,
      async () => {
        earl.expect(await send(mode)).toEqual('broken');
      },
    );

  void test.it('sends nothing to an upstream that has left', async () => {
    earl.expect(await send('normal', () => false)).toEqual('notSent');
  });

  void test.it('believes no refusal of an earlier request', async () => {
    const kinds = await sendToRefusals(
      requestId =>
        refusals.getRefusalText(
          '503 Busy',
          'x-bramleyrun-not-run: true',
          `x-bramleyrun-request-id: ${requestId}`,
        ),
      ['q1', 'q2'],
    );
    earl.expect(kinds).toEqual(['shed', 'broken']);
  });

  void test.it('believes no refusal that names no request', async () => {
    const refusal = refusals.getRefusalText(
      '503 Busy',
      'x-bramleyrun-not-run: true',
    );
    const kinds = await sendToRefusals(() => refusal, ['q1']);
    earl.expect(kinds).toEqual(['broken']);
  });

  for (const kind of ['end', 'reset'] as const)
    void test.it(
      `takes no answer for whole that is cut by ${kind}`,
      async () => {
        for (const answer of cuts.getFramedAnswers('x-bramleyrun-request-id'))
          for (let length = 0; length < answer.length; length++)
            await cuts.withCutAnswer(
              answer.slice(0, length),
              kind,
              async address => {
                const client = new clients.UpstreamClient('i-0', address);
                const result = await client.send(getSending('q'));
                earl.expect([length, result.kind]).toEqual([length, 'broken']);
                await client.close();
              },
            );
      },
    );

  void test.it('takes an answer that ends with its connection', async () => {
    earl.expect(await send('unframed')).toEqual('answered');
  });
});
