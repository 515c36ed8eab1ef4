import * as test from 'node:test';
import * as earl from 'earl';
import * as kernel from '../../../src/kernel/index.js';
import type * as operations from '../../../src/model/operations/index.js';
import type * as platform from '../../../src/model/platform/index.js';
import * as services from '../../../src/services/index.js';
import * as writers from '../../../src/services/operations/ClaimWriter.js';
import * as stubs from '../../support/services/StubTask.js';

const INVALID_ROW: platform.TableRow = {key: 'claim', version: 7, value: '{'};
const WRITE: writers.ClaimWrite = {
  rowKey: 'claim',
  expectedVersion: 0,
  claim: {attemptId: 'a'} as operations.Claim,
};

/** Creates services with a platform whose reads return the rows and whose transactions end as given. */
function createServices(
  rows: readonly platform.TableRow[],
  results: platform.TransactionResult[],
): kernel.Kernel {
  return new kernel.Kernel()
    .add(services.LOG, new stubs.StubTask<services.LogMessage>())
    .add(
      services.PLATFORM,
      new stubs.StubTask<services.PlatformMessage>(message => {
        switch (message.kind) {
          case 'read':
            message.reply({kind: 'rows', rows});
            return;
          case 'transact':
            message.reply(results.shift() ?? {kind: 'unavailable'});
            return;
          default:
            return;
        }
      }),
    );
}

void test.describe('ClaimWriter', {timeout: 10_000}, () => {
  void test.it(
    'goes on after a read that returned an invalid row',
    async () => {
      const writer = new writers.ClaimWriter(
        createServices(
          [INVALID_ROW],
          [{kind: 'outcomeUnknown'}, {kind: 'committed', version: 9}],
        ),
      );
      earl.expect(await writer.write(WRITE)).toEqual({kind: 'outcomeUnknown'});
      earl
        .expect(await writer.write(WRITE))
        .toEqual({kind: 'claimed', rowVersion: 9});
    },
  );

  void test.it('reads an invalid row not as a missing claim', async () => {
    const directory = createServices([INVALID_ROW], []);
    earl
      .expect(await writers.readClaims(directory, ['claim']))
      .toEqual(undefined);
    earl.expect(await writers.readAllClaims(directory, 10)).toEqual([]);
  });
});
