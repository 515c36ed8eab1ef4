import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import type * as upstreams from '../../standins/store/FakeUpstream.js';
import * as fleets from './EntryFleet.js';
import type * as callers from './RawCaller.js';

const CALLER_TIMEOUT_MS = 20_000;

/** Longer than what the system buffers of one connection. */
const LONG_ANSWER_BYTES = 7_000_000;

/** The rate of a slow link, at which the long answer takes longer than the grace period. */
const SLOW_BYTES_PER_SECOND = 200_000;

/** An answer that the system buffers whole, and a rate at which it takes 2 s. */
const BUFFERED_ANSWER_BYTES = 1_000_000;
const BUFFERED_ANSWER_BYTES_PER_SECOND = 500_000;

/** How often a caller that pipelines without end sends a request. */
const SEND_INTERVAL_MS = 10;

/** When a stopping VM no longer takes new connections (3 s) has passed, but not yet its grace period (6 s). */
const LATE_IN_GRACE_MS = 3400;

const LONG_ANSWER_PATH = `/look/x?bytes=${LONG_ANSWER_BYTES}`;
const BUFFERED_ANSWER_PATH = `/look/x?ms=100&bytes=${BUFFERED_ANSWER_BYTES}`;

/** Longer than until connections that count as idle are closed. */
const SLOW_PATH = '/look/x?ms=4000';

async function withVm(
  run: (
    fleet: fleets.EntryFleet,
    upstream: upstreams.FakeUpstream,
  ) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(
      [{prefix: '/look/', kind: 'safe', service: 'desk', timeout: '20s'}],
      fleets.getSoleOrganisation('k1'),
    );
    const upstream = await fleet.addUpstream('desk');
    await fleet.addVms(1);
    await run(fleet, upstream);
  });
}

/** Sends requests without end on one connection; returns their identifiers once the connection is closed. */
async function sendUntilClosed(
  caller: callers.RawCaller,
): Promise<readonly string[]> {
  const requestIds: string[] = [];
  while (!caller.isClosed) {
    const requestId = `more-${requestIds.length}`;
    requestIds.push(requestId);
    caller.send([requestId], '/look/x', 'k1', CALLER_TIMEOUT_MS);
    await timers.setTimeout(SEND_INTERVAL_MS);
  }
  return requestIds;
}

void test.describe('a caller on a slow link', {timeout: 60_000}, () => {
  const pipelined: readonly {
    readonly name: string;
    readonly behind: readonly string[];
  }[] = [
    {name: 'keeps an answer that is being sent when a stop begins', behind: []},
    {
      name: 'keeps an answer that is being sent when a stop begins, and that of a request behind it',
      behind: ['behind'],
    },
  ];
  for (const {name, behind} of pipelined)
    void test.it(name, async () => {
      await withVm(async (fleet, upstream) => {
        const caller = await fleet.connect(0, SLOW_BYTES_PER_SECOND);
        caller.send(['long'], LONG_ANSWER_PATH, 'k1', CALLER_TIMEOUT_MS);
        if (behind.length > 0)
          caller.send(behind, SLOW_PATH, 'k1', CALLER_TIMEOUT_MS);
        await fleet.waitFor(
          () =>
            caller.hasReceived && upstream.runs.length === 1 + behind.length,
        );
        await fleet.stop(0);
        await timers.setTimeout(LATE_IN_GRACE_MS);
        caller.setReceiveRate(Infinity);
        earl.expect(await fleet.getProcess(0).waitForExit()).toEqual(0);
        await fleet.waitFor(() => caller.isClosed);
        earl.expect(caller.getServedIds()).toEqual(['long', ...behind]);
      });
    });

  void test.it(
    'keeps the last answer of a connection on which it has sent more requests',
    async () => {
      await withVm(async (fleet, upstream) => {
        const caller = await fleet.connect(0, BUFFERED_ANSWER_BYTES_PER_SECOND);
        await fleet.stop(0);
        caller.send(['last'], BUFFERED_ANSWER_PATH, 'k1', CALLER_TIMEOUT_MS);
        await fleet.waitFor(() => caller.hasReceived);
        const laterIds = await sendUntilClosed(caller);
        const [last] = caller.getAnswers();
        earl.expect(last.isLast).toEqual(true);
        earl.expect(caller.getServedIds()).toEqual(['last']);
        const runIds = upstream.runs.map(run => run.requestId);
        earl.expect(laterIds.filter(id => runIds.includes(id))).toEqual([]);
        earl.expect(await fleet.getProcess(0).waitForExit()).toEqual(0);
      });
    },
  );
});
