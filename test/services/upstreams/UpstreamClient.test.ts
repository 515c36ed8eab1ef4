import * as test from 'node:test';
import * as earl from 'earl';
import * as clients from '../../../src/services/upstreams/UpstreamClient.js';
import * as upstreams from '../../../standins/store/PublishedUpstream.js';

async function send(
  mode: upstreams.UpstreamMode,
  mayStart = () => true,
): Promise<clients.SendResult['kind']> {
  const upstream = new upstreams.PublishedUpstream('i-0');
  upstream.mode = mode;
  const client = new clients.UpstreamClient('i-0', await upstream.open());
  try {
    const result = await client.send({
      request: {
        requestId: 'q',
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
      mayStart,
      abandoned: new AbortController().signal,
    });
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

  void test.it('takes an answer that ends with its connection', async () => {
    earl.expect(await send('unframed')).toEqual('answered');
  });
});
