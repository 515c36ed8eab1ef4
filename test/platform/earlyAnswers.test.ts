import * as test from 'node:test';
import * as earl from 'earl';
import * as early from '../support/upstreams/earlyAnswers.js';
import * as fleets from './EntryFleet.js';

const UPLOAD: fleets.CallerRequest = {
  method: 'POST',
  path: '/book/x',
  body: early.LARGE_BODY,
};

// Guards against a caller who receives a part of an answer as a whole one, and against a second run of its request.
void test.describe('an upload whose upstream answers early', () => {
  for (const isReadingOn of [true, false]) {
    const name = `an upstream that ${isReadingOn ? 'reads' : 'does not read'} on`;
    void test.it(
      `fails when its answer is cut off by a reset, with ${name}`,
      async () => {
        await fleets.withFleet(
          async fleet => {
            const upstream = await fleet.addRawUpstream('desk');
            upstream.isReadingOn = isReadingOn;
            upstream.connectionUse = 'reset';
            await start(fleet);
            let sentCount = 0;
            for (const size of early.SIZES) {
              upstream.answer = early.getUnframedAnswer(size);
              for (let index = 0; index < early.RESET_TRY_COUNT; index++) {
                const {httpStatus} = await fleet.call(0, UPLOAD);
                sentCount += 1;
                earl.expect([size, httpStatus]).toEqual([size, 502]);
              }
            }
            earl.expect(upstream.answerCount).toEqual(sentCount);
          },
          {maxBodyBytes: early.LARGE_BODY.length},
        );
      },
    );

    void test.it(
      `gets an answer that ends in order, with ${name}`,
      async () => {
        await fleets.withFleet(
          async fleet => {
            const upstream = await fleet.addRawUpstream('desk');
            upstream.isReadingOn = isReadingOn;
            await start(fleet);
            for (const size of early.SIZES) {
              upstream.answer = early.getUnframedAnswer(size);
              const {httpStatus, text} = await fleet.call(0, UPLOAD);
              earl.expect([httpStatus, text.length]).toEqual([200, size]);
            }
          },
          {maxBodyBytes: early.LARGE_BODY.length},
        );
      },
    );
  }
});

async function start(fleet: fleets.EntryFleet): Promise<void> {
  fleet.configure(
    [{prefix: '/book/', kind: 'unsafe', service: 'desk'}],
    fleets.getSoleOrganisation('k1'),
  );
  await fleet.addVms(1);
}
