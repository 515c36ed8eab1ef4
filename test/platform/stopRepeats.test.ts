import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const CALLER_TIMEOUT_MS = 20_000;
const HTTP_UNAVAILABLE = 503;

/** When the requests are sent, and when their upstream breaks off the first one, both counted from SIGTERM. */
const SENT_AT_MS = 2500;
const FIRST_BREAK_AT_MS = 5150;

const CALLER_COUNT = 30;
const BREAK_INTERVAL_MS = 10;

void test.describe(
  'a request that may be repeated in a planned stop',
  {timeout: 60_000},
  () => {
    void test.it(
      'is not answered as not run after an upstream has run it',
      async () => {
        await fleets.withFleet(async fleet => {
          fleet.configure(
            [{prefix: '/look/', kind: 'safe', service: 'desk', timeout: '20s'}],
            fleets.getSoleOrganisation('k1'),
          );
          const upstream = await fleet.addUpstream(
            'desk',
            'amman-a',
            2 * CALLER_COUNT,
          );
          upstream.mode = 'resetAfterRun';
          await fleet.addVms(1);
          const callers = await Promise.all(
            Array.from({length: CALLER_COUNT}, () => fleet.connect(0)),
          );
          const stoppedAtMs = performance.now();
          fleet.getProcess(0).signal('SIGTERM');
          await timers.setTimeout(SENT_AT_MS);
          const sinceStopMs = performance.now() - stoppedAtMs;
          for (const [index, caller] of callers.entries()) {
            const breaksAtMs = FIRST_BREAK_AT_MS + index * BREAK_INTERVAL_MS;
            const ms = Math.round(breaksAtMs - sinceStopMs);
            const path = `/look/x?ms=${ms}`;
            caller.send([`q${index}`], path, 'k1', CALLER_TIMEOUT_MS);
          }
          await fleet.getProcess(0).waitForExit();
          await fleet.waitFor(() => callers.every(caller => caller.isClosed));
          earl.expect(upstream.runs.length).toEqual(CALLER_COUNT);
          const statuses = callers.flatMap(caller =>
            caller.getAnswers().map(answer => answer.httpStatus),
          );
          earl.expect(statuses.length).toEqual(CALLER_COUNT);
          earl
            .expect(statuses.filter(status => status === HTTP_UNAVAILABLE))
            .toEqual([]);
        });
      },
    );
  },
);
