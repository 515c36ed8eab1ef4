import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as fleets from './EntryFleet.js';

const GRACE_PERIOD_MS = 6000;
const LONG_MS = 20_000;

const LISTENERS: readonly {
  readonly name: string;
  readonly port: number;
}[] = [
  {name: 'peers', port: 7220},
  {name: 'metrics', port: 9464},
  {name: 'steering', port: 8665},
  {name: 'readiness', port: 8666},
];

const HEAD =
  'POST /rpc HTTP/1.1\r\nhost: a\r\nauthorization: Bearer entry-vms\r\n';

/** What a connection has sent that no answer was given to. */
const SENT: readonly {readonly name: string; readonly bytes: string}[] = [
  {name: 'nothing', bytes: ''},
  {name: 'half a head', bytes: HEAD},
  {name: 'half a body', bytes: `${HEAD}content-length: 20\r\n\r\n{"id"`},
];

async function withServingFleet(
  run: (fleet: fleets.EntryFleet) => Promise<void>,
): Promise<void> {
  await fleets.withFleet(async fleet => {
    fleet.configure(
      [{prefix: '/look/', kind: 'safe', service: 'desk', timeout: '20s'}],
      fleets.getSoleOrganisation('k1'),
    );
    const upstream = await fleet.addUpstream('desk');
    upstream.serviceMs = LONG_MS;
    await fleet.addVms(1);
    await run(fleet);
  });
}

/** Opens a connection that stays open when the VM ends it, and sends bytes on it. */
async function connect(
  fleet: fleets.EntryFleet,
  port: number,
  bytes: string,
): Promise<void> {
  const host = fleet.getVmHost(0);
  const socket = net.connect({port, host, allowHalfOpen: true});
  socket.on('error', () => undefined);
  await events.EventEmitter.once(socket, 'connect');
  socket.write(bytes);
  socket.resume();
}

/** Stops the VM and expects that it exits within its grace period; kills it after that, like the platform. */
async function expectExitInGrace(fleet: fleets.EntryFleet): Promise<void> {
  const vm = fleet.getProcess(0);
  vm.signal('SIGTERM');
  const kill = setTimeout(() => vm.signal('SIGKILL'), GRACE_PERIOD_MS);
  const exitCode = await vm.waitForExit();
  clearTimeout(kill);
  earl.expect(exitCode).toEqual(0);
}

void test.describe('a stop is not delayed', {timeout: 120_000}, () => {
  for (const {name, port} of LISTENERS)
    void test.it(
      `by connections to the ${name} listener that have sent no whole request`,
      async () => {
        await withServingFleet(async fleet => {
          for (const {bytes} of SENT) await connect(fleet, port, bytes);
          await expectExitInGrace(fleet);
        });
      },
    );

  for (const sent of SENT)
    void test.it(
      `by connections that have sent ${sent.name} to any listener, while a caller waits`,
      async () => {
        await withServingFleet(async fleet => {
          for (const {port} of LISTENERS)
            await connect(fleet, port, sent.bytes);
          const pendingAnswer = fleet
            .call(0, {waitMs: LONG_MS})
            .catch(() => undefined);
          await fleet.waitFor(() =>
            fleet.getProcess(0).getLog().includes('event=daemonStarted'),
          );
          await expectExitInGrace(fleet);
          await pendingAnswer;
        });
      },
    );
});
