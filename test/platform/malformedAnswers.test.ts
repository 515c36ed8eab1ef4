import * as test from 'node:test';
import * as earl from 'earl';
import * as malformed from '../support/upstreams/malformedAnswers.js';
import * as fleets from './EntryFleet.js';

// Guards against a caller who receives an answer with an invalid head or trailer, or a body that it misdelimits.
void test.describe('a malformed answer', () => {
  for (const kind of ['safe', 'unsafe'] as const)
    void test.it(`fails its ${kind} request`, async () => {
      await fleets.withFleet(async fleet => {
        const upstream = await fleet.addRawUpstream('desk');
        fleet.configure(
          [{prefix: '/look/', kind, service: 'desk'}],
          fleets.getSoleOrganisation('k1'),
        );
        await fleet.addVms(1);
        const answers = malformed.getMalformedAnswers('answer');
        for (const {title, text} of answers) {
          upstream.answer = text;
          const {httpStatus, headers} = await fleet.call(0, {method: 'POST'});
          earl
            .expect([title, httpStatus, headers['x-response-seal']])
            .toEqual([title, 502, undefined]);
        }
        if (kind === 'unsafe')
          earl.expect(upstream.answerCount).toEqual(answers.length);
      });
    });
});
