import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const CALLERS_PORT = 8668;

/** When a stopping VM closes its listener. */
const LISTENER_CLOSED_AT_MS = 3000;
const BEFORE_MS = 150;
const AFTER_MS = 150;

const HEAD = [
  'GET /look/x HTTP/1.1',
  'host: a.example',
  'x-request-id: arriving',
  'x-request-deadline: 1000',
  'authorization: Bearer k1',
  '',
  '',
].join('\r\n');
const BEGUN_HEAD = HEAD.slice(0, 60);

void test.describe(
  'a request that arrives while a stopping VM closes its listener',
  {timeout: 60_000},
  () => {
    void test.it('is answered when a part of it has been read', async () => {
      await fleets.withFleet(async fleet => {
        fleet.configure(
          [{prefix: '/look/', kind: 'safe', service: 'desk'}],
          fleets.getSoleOrganisation('k1'),
        );
        await fleet.addUpstream('desk');
        await fleet.addVms(1);
        const stoppedAtMs = performance.now();
        fleet.getProcess(0).signal('SIGTERM');
        await timers.setTimeout(LISTENER_CLOSED_AT_MS - BEFORE_MS);
        const caller = net.connect(CALLERS_PORT, fleet.getVmHost(0));
        caller.on('error', () => undefined);
        let received = '';
        caller.on('data', chunk => (received += chunk.toString('latin1')));
        const closed = events.EventEmitter.once(caller, 'close');
        caller.write(BEGUN_HEAD);
        await timers.setTimeout(
          stoppedAtMs + LISTENER_CLOSED_AT_MS + AFTER_MS - performance.now(),
        );
        caller.write(HEAD.slice(BEGUN_HEAD.length));
        await closed;
        earl.expect(received).toInclude('HTTP/1.1 200 OK');
      });
    });
  },
);
