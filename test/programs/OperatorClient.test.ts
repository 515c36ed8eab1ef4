import * as test from 'node:test';
import * as earl from 'earl';
import * as clients from '../../src/programs/cli/OperatorClient.js';
import * as cuts from '../support/upstreams/getCutOffAnswers.js';
import * as closing from '../support/upstreams/withClosingUpstream.js';

void test.describe('OperatorClient', {timeout: 60_000}, () => {
  // Guards against a command that shows a part of a result because an answer without a length was cut off.
  void test.it('fails when the answer is cut off', async () => {
    const result = {version: 12};
    const body = JSON.stringify({jsonrpc: '2.0', id: 1, result});
    for (const answer of cuts.getCutOffAnswers(body))
      await closing.withClosingUpstream(answer, 'reset', async address => {
        const client = new clients.OperatorClient(address, 'token');
        await earl
          .expect(client.callOrThrow({kind: 'showConfiguration'}))
          .toBeRejectedWith('the daemon did not answer');
      });
  });
});
