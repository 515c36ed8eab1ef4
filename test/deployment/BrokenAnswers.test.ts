import * as crypto from 'node:crypto';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as rawUpstreams from '../../standins/store/RawUpstream.js';
import * as early from '../support/upstreams/earlyAnswers.js';
import * as malformed from '../support/upstreams/malformedAnswers.js';
import * as plans from './plans.js';

/** The largest body that a daemon accepts by default. */
const UPLOAD = 'b'.repeat(1_048_576);

/** Larger than an answer that the daemon buffers as a whole. */
const STREAMED_ANSWER_BYTES = 300_000;

const POLL_INTERVAL_MS = 20;

const deployment = new deployments.Deployment(
  plans.getPlan({vmCount: 1, upstreamCount: 1}),
);
const upstream = new rawUpstreams.RawUpstream();
upstream.loadReport = '{"busyCount":0,"status":"active"}';

/** Only each twelfth malformed answer is sent, as the daemon avoids the upstream for a while after each failure. */
const MALFORMED_ANSWER_STEP = 12;

let requestCount = 0;

/**
 * Sends a request that runs at most once, as soon as the daemon uses the upstream again. Returns how it ended, and how
 * often the upstream received it.
 */
async function send(body: string): Promise<{
  readonly outcome: 'failed' | 'answered';
  readonly sentCount: number;
}> {
  const countBefore = upstream.answerCount;
  for (;;) {
    const answer = await deployment.request(
      'vm-0',
      `/doors/${requestCount++}`,
      {
        method: 'POST',
        key: deploymentPlans.getApiKey('rustavi'),
        idempotencyKey: crypto.randomUUID(),
        body,
      },
    );
    const sentCount = upstream.answerCount - countBefore;
    if (answer.headers['x-bramleyrun-not-run'] === 'true' && sentCount === 0) {
      await timers.setTimeout(POLL_INTERVAL_MS);
      continue;
    }
    // The status is 0 when the connection broke off within the answer.
    const hasFailed =
      answer.httpStatus === 0 ||
      answer.headers['x-bramleyrun-error'] !== undefined;
    return {outcome: hasFailed ? 'failed' : 'answered', sentCount};
  }
}

// Guards against a caller of the daemon who receives a part of an answer, or something that is none, as an answer.
void test.describe('broken answers', {timeout: 300_000}, () => {
  test.before(async () => {
    await deployment.start();
    const [host, port] = (await upstream.open()).split(':');
    const {version} = await deployment.patch<{readonly version: number}>(
      'vm-0',
      {upstreams: {'upstream-0': {host, port: Number(port)}}},
    );
    await deployment.waitForVersion(version);
  });

  test.after(async () => {
    upstream.close();
    await deployment.stop();
  });

  void test.it('fail their requests when a reset cuts them off', async () => {
    upstream.connectionUse = 'reset';
    for (const isReadingOn of [true, false])
      for (const size of [...early.SIZES, STREAMED_ANSWER_BYTES]) {
        upstream.isReadingOn = isReadingOn;
        upstream.answer = early.getUnframedAnswer(size);
        const sent = await send(UPLOAD);
        earl
          .expect([size, sent])
          .toEqual([size, {outcome: 'failed', sentCount: 1}]);
      }
  });

  void test.it('fail their requests when they are malformed', async () => {
    upstream.connectionUse = 'end';
    upstream.isReadingOn = true;
    for (const bodyBytes of [6, STREAMED_ANSWER_BYTES])
      for (const [index, {title, text}] of malformed
        .getMalformedAnswers('z'.repeat(bodyBytes))
        .entries()) {
        if (index % MALFORMED_ANSWER_STEP !== 0) continue;
        upstream.answer = text;
        const sent = await send('the body');
        earl
          .expect([title, sent])
          .toEqual([title, {outcome: 'failed', sentCount: 1}]);
      }
  });

  void test.it('leave the upstream usable', async () => {
    upstream.answer = early.getUnframedAnswer(20);
    earl.expect(await send('the body')).toEqual({
      outcome: 'answered',
      sentCount: 1,
    });
  });
});
