import * as test from 'node:test';
import * as earl from 'earl';
import * as adapters from '../../../src/services/platform/adapters/HttpPlatform.js';
import * as cuts from '../../support/upstreams/getCutOffAnswers.js';
import * as closing from '../../support/upstreams/withClosingUpstream.js';

/** A call of the platform, with the body of its answer. */
interface Call {
  readonly name: string;
  readonly body: object;
  readonly run: (
    platform: adapters.HttpPlatform,
  ) => Promise<{readonly kind: string}>;
}

/** What the platform service makes of a rejected call is the same. */
const NO_RESULTS: readonly string[] = [
  'rejected',
  'unavailable',
  'outcomeUnknown',
];

const CALLS: readonly Call[] = [
  {
    name: 'read',
    body: [{key: 'claims/a', version: 12, value: 'x'}],
    run: async platform =>
      await platform.read({kind: 'keys', keys: ['claims/a']}),
  },
  {
    name: 'transact',
    body: {kind: 'committed', version: 12},
    run: async platform => await platform.transact({checks: [], writes: []}),
  },
  {
    name: 'getObject',
    body: {text: 'object'},
    run: async platform => await platform.getObject('a'),
  },
  {
    name: 'listVms',
    body: [{vmId: 'vm-0', status: 'live'}],
    run: async platform => await platform.listVms(),
  },
];

void test.describe('HttpPlatform', {timeout: 60_000}, () => {
  // Guards against a result that was cut off in an answer without a length.
  for (const {name, body, run} of CALLS)
    void test.it(`${name} fails when its answer is cut off`, async () => {
      for (const answer of cuts.getCutOffAnswers(JSON.stringify(body)))
        await closing.withClosingUpstream(answer, 'reset', async address => {
          const platform = new adapters.HttpPlatform(`http://${address}`);
          const kind = await run(platform).then(
            result => result.kind,
            () => 'rejected',
          );
          await platform.close();
          earl
            .expect([answer, NO_RESULTS.includes(kind)])
            .toEqual([answer, true]);
        });
    });
});
