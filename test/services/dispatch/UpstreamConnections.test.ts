import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as headers from '../../../platform/HeaderCodec.js';
import type * as entry from '../../../src/model/entry/index.js';
import * as connections from '../../../src/services/dispatch/UpstreamConnections.js';
import * as upstreams from '../../../standins/store/PublishedUpstream.js';
import * as cuts from '../../support/upstreams/withCutAnswer.js';
import * as refusals from '../../support/upstreams/withRefusals.js';

/** The most bytes that a process may take of an answer that never ends: a part of the smallest VM's memory. */
const MAX_TAKEN_BYTES = 64 * 1024 * 1024;

const REQUEST: entry.EntryRequest = {
  requestId: 'q',
  method: 'GET',
  host: 'a.example',
  target: '/look/x',
  headers: [],
  body: new Uint8Array(),
  key: '',
  objectKey: '',
  arrivedAtMs: 0,
  callerDeadlineMs: 10_000,
};

function getSending(requestId: string): connections.Sending {
  return {
    request: {...REQUEST, requestId},
    headers: ['x-request-id', requestId],
    remainingMs: 20_000,
    isFreshOnly: false,
    mayStart: () => true,
    abandoned: new AbortController().signal,
  };
}

/** Sends requests one after the other to an upstream that repeats its first refusal. */
async function sendToRefusals(
  getRefusal: (requestId: string) => string,
  requestIds: readonly string[],
): Promise<readonly connections.SendResult['kind'][]> {
  const kinds: connections.SendResult['kind'][] = [];
  await refusals.withRefusals(getRefusal, async address => {
    const client = new connections.UpstreamConnections(
      'i-0',
      address,
      new headers.HeaderCodec(),
    );
    for (const requestId of requestIds) {
      kinds.push((await client.send(getSending(requestId))).kind);
      // The connection is free for the next request once the turn of its answer is over.
      await timers.setImmediate();
    }
    await client.close();
  });
  return kinds;
}

/** Sends one request to an upstream of its own. */
async function send(
  mode: upstreams.UpstreamMode,
  abandoned: AbortSignal,
  mayStart = () => true,
): Promise<{
  readonly result: connections.SendResult;
  readonly upstream: upstreams.PublishedUpstream;
}> {
  const upstream = new upstreams.PublishedUpstream('i-0');
  upstream.mode = mode;
  const address = await upstream.open();
  const client = new connections.UpstreamConnections(
    'i-0',
    address,
    new headers.HeaderCodec(),
  );
  try {
    const sending = getSending('q');
    const result = await client.send({...sending, mayStart, abandoned});
    return {result, upstream};
  } finally {
    upstream.close();
    await client.close();
  }
}

void test.describe('UpstreamConnections', {timeout: 60_000}, () => {
  void test.it('sends nothing for a caller that has left', async () => {
    const {result, upstream} = await send('normal', AbortSignal.abort());
    earl.expect(result.kind).toEqual('abandoned');
    earl.expect(upstream.arrivalCount).toEqual(0);
  });

  void test.it(
    'sends nothing to an upstream that left while it was connected to',
    async () => {
      let isOpen = true;
      const sent = send('normal', new AbortController().signal, () => isOpen);
      isOpen = false;
      const {result, upstream} = await sent;
      earl.expect(result.kind).toEqual('notSent');
      earl.expect(upstream.arrivalCount).toEqual(0);
    },
  );

  for (const mode of ['endlessHead', 'endlessBody'] as const)
    void test.it(
      `closes the connection of an answer with ${mode}`,
      async () => {
        const {result, upstream} = await send(
          mode,
          new AbortController().signal,
        );
        earl.expect(result.kind).toEqual('broken');
        earl.expect(upstream.getEndlessBytes()).toBeLessThan(MAX_TAKEN_BYTES);
      },
    );

  // Guards against part of an answer that passes for the whole one.
  for (const mode of ['unframedReset', 'unframedResetAtOnce'] as const)
    void test.it(
      `takes no part of an answer for whole with ${mode}`,
      async () => {
        const {result} = await send(mode, new AbortController().signal);
        earl.expect(result.kind).toEqual('broken');
      },
    );

  void test.it('believes no refusal of an earlier request', async () => {
    const kinds = await sendToRefusals(
      requestId =>
        refusals.getRefusalText(
          '503 Busy',
          'x-not-executed: 1',
          `x-request-id: ${requestId}`,
        ),
      ['q1', 'q2'],
    );
    earl.expect(kinds).toEqual(['shed', 'garbled']);
  });

  for (const refusal of [
    refusals.getRefusalText('503 Busy', 'x-not-executed: 1'),
    refusals.getRefusalText('421 Misdirected', 'x-instance-id: another'),
  ])
    void test.it(
      `believes no refusal that names no request: ${refusal.slice(9, 12)}`,
      async () => {
        const kinds = await sendToRefusals(() => refusal, ['q1']);
        earl.expect(kinds).toEqual(['garbled']);
      },
    );

  for (const kind of ['end', 'reset'] as const)
    void test.it(
      `takes no answer for whole that is cut by ${kind}`,
      async () => {
        for (const answer of cuts.getFramedAnswers('x-request-id'))
          for (let length = 0; length < answer.length; length++)
            await cuts.withCutAnswer(
              answer.slice(0, length),
              kind,
              async address => {
                const client = new connections.UpstreamConnections(
                  'i-0',
                  address,
                  new headers.HeaderCodec(),
                );
                const result = await client.send(getSending('q'));
                earl.expect([length, result.kind]).toEqual([length, 'broken']);
                await client.close();
              },
            );
      },
    );

  void test.it('takes an answer that ends with its connection', async () => {
    const {result} = await send('unframed', new AbortController().signal);
    earl.expect(result.kind).toEqual('answered');
  });
});
