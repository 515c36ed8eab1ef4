import * as test from 'node:test';
import * as earl from 'earl';
import * as headers from '../../../platform/HeaderCodec.js';
import * as connections from '../../../src/services/dispatch/UpstreamConnections.js';
import * as upstreams from '../../../standins/store/FakeUpstream.js';

const REMAINING_MS = 500;
const ANSWER_MARGIN_MS = 100;

/** How long the event loop stands still while the connection is being opened. */
const CONNECT_DELAY_MS = 400;

/** Allows for slow machines; shorter than the delay. */
const TOLERANCE_MS = 200;

void test.describe('the timeout of an answer', {timeout: 30_000}, () => {
  void test.it(
    'does not begin anew when the connection has been opened',
    async () => {
      const upstream = new upstreams.FakeUpstream('i-0');
      upstream.mode = 'silent';
      const client = new connections.UpstreamConnections(
        'i-0',
        await upstream.open(),
        new headers.HeaderCodec(),
      );
      try {
        const startedAtMs = performance.now();
        const sending = client.send({
          request: {
            requestId: 'q',
            method: 'GET',
            host: 'a.example',
            target: '/look/x',
            headers: [],
            body: new Uint8Array(),
            key: '',
            objectKey: '',
            readAtMs: 0,
            arrivedAtMs: 0,
            callerDeadlineMs: 10_000,
          },
          headers: ['x-request-id', 'q'],
          remainingMs: REMAINING_MS,
          answerMargin: {
            afterSendMs: ANSWER_MARGIN_MS,
            totalMs: ANSWER_MARGIN_MS,
          },
          needsNewConnection: false,
          isStillEligible: () => true,
          onNotice: () => {},
          abandoned: new AbortController().signal,
        });
        const sleeper = new Int32Array(new SharedArrayBuffer(4));
        Atomics.wait(sleeper, 0, 0, CONNECT_DELAY_MS);
        const {kind} = await sending;
        earl.expect(kind).toEqual('timedOut');
        earl
          .expect(performance.now() - startedAtMs)
          .toBeLessThan(REMAINING_MS + ANSWER_MARGIN_MS + TOLERANCE_MS);
      } finally {
        upstream.close();
        await client.destroy();
      }
    },
  );
});
