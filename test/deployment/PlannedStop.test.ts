import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as deployments from '../../standins/deployment/Deployment.js';
import * as deploymentPlans from '../../standins/deployment/DeploymentPlan.js';
import * as plans from './plans.js';

const KEY = deploymentPlans.getApiKey('rustavi');

/** Time limit for the exit of a daemon without requests in progress, in milliseconds after SIGTERM. */
const IDLE_STOP_LIMIT_MS = 8000;

/** A streamed answer, which its caller reads across the closing of the listener, within the route's time limit. */
const STREAMED_BYTES = 8_000_000;
const STREAM_SENT_MS = 3000;
const STREAM_READ_MS = 3800;

/** A caller that writes HTTP/1.1 directly to a socket, so that it can pipeline requests and stop reading. */
class PipeliningCaller {
  readonly socket: net.Socket;
  private received = '';

  private constructor(socket: net.Socket) {
    this.socket = socket;
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      this.received += chunk.toString('latin1');
    });
  }

  static async connect(address: string): Promise<PipeliningCaller> {
    const [host, port] = address.split(':');
    const socket = net.connect({
      host,
      port: Number(port),
      allowHalfOpen: true,
    });
    await events.EventEmitter.once(socket, 'connect');
    return new PipeliningCaller(socket);
  }

  /** Sends one GET request for each target without waiting for answers. */
  send(targets: readonly string[]): void {
    const requests = targets.map(
      target =>
        `GET ${target} HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${KEY}\r\n\r\n`,
    );
    this.socket.write(requests.join(''));
  }

  /** Waits until the daemon has ended the connection. */
  async waitForEnd(): Promise<void> {
    if (!this.socket.readableEnded)
      await events.EventEmitter.once(this.socket, 'end');
  }

  /** Gets the statuses of the answers received so far. */
  getStatuses(): readonly number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match =>
      Number(match[1]),
    );
  }

  /** Gets how many of the answers received so far announce that the connection closes. */
  getCloseCount(): number {
    return [...this.received.matchAll(/\r\nconnection: close\r\n/gi)].length;
  }

  /** Gets the number of bytes received so far. */
  getByteCount(): number {
    return this.received.length;
  }
}

async function withDeployment(
  run: (deployment: deployments.Deployment) => Promise<void>,
): Promise<void> {
  const deployment = new deployments.Deployment(
    plans.getPlan({vmCount: 3, upstreamCount: 1}),
  );
  try {
    await deployment.start();
    await run(deployment);
  } finally {
    await deployment.stop();
  }
}

/** Sends SIGTERM to the daemon and waits until its stop has begun. */
async function beginStop(deployment: deployments.Deployment): Promise<void> {
  const {process} = deployment.getVmOrThrow('vm-0');
  process.signal('SIGTERM');
  await deployments.waitFor(() =>
    process.getLog().includes('event=daemonStopping'),
  );
}

async function waitForRun(
  deployment: deployments.Deployment,
  target: string,
): Promise<void> {
  await deployments.waitFor(() =>
    deployment.getRunEvents().some(run => run.target === target),
  );
}

void test.describe('a planned stop of the daemon', {timeout: 120_000}, () => {
  void test.it(
    'answers all requests of a connection that pipelines',
    async () => {
      await withDeployment(async deployment => {
        const {process} = deployment.getVmOrThrow('vm-0');
        const caller = await PipeliningCaller.connect(
          deployment.getCallersAddress('vm-0'),
        );
        const slow = '/look-up/slow?ms=1000';
        caller.send([slow]);
        await waitForRun(deployment, slow);
        await beginStop(deployment);
        caller.send([
          '/look-up/first?ms=300',
          '/-/steer',
          '/-/health',
          '/look-up/second?ms=600',
          '/look-up/third?ms=20',
        ]);
        await caller.waitForEnd();
        earl
          .expect(caller.getStatuses())
          .toEqual([200, 200, 200, 200, 200, 200]);
        earl.expect(caller.getCloseCount()).toEqual(1);
        caller.socket.destroy();
        earl.expect(await process.waitForExit()).toEqual(0);
      });
    },
  );

  void test.it(
    'sends all of a streamed answer that a caller reads slowly',
    async () => {
      await withDeployment(async deployment => {
        const {process} = deployment.getVmOrThrow('vm-0');
        await beginStop(deployment);
        await timers.setTimeout(STREAM_SENT_MS);
        const caller = await PipeliningCaller.connect(
          deployment.getCallersAddress('vm-0'),
        );
        caller.socket.pause();
        caller.send([`/public/large?size=${STREAMED_BYTES}`]);
        await timers.setTimeout(STREAM_READ_MS - STREAM_SENT_MS);
        caller.socket.resume();
        await caller.waitForEnd();
        earl.expect(caller.getStatuses()).toEqual([200]);
        earl.expect(caller.getByteCount()).toBeGreaterThan(STREAMED_BYTES);
        caller.socket.destroy();
        earl.expect(await process.waitForExit()).toEqual(0);
      });
    },
  );

  void test.it(
    'ends although connections have sent no whole request',
    async () => {
      await withDeployment(async deployment => {
        const {process, addresses} = deployment.getVmOrThrow('vm-0');
        const open = async (address: string, bytes: string) => {
          const {socket} = await PipeliningCaller.connect(address);
          socket.write(bytes);
        };
        const {callersAddress, operatorsAddress, peersAddress, metricsAddress} =
          addresses;
        const listeners = [
          callersAddress,
          operatorsAddress,
          peersAddress,
          metricsAddress,
        ];
        for (const address of listeners) {
          await open(address, '');
          await open(address, 'POST /rpc HTTP/1.1\r\nhost: a\r\ncontent-');
        }
        const halfBody = (secret: string) =>
          `POST /rpc HTTP/1.1\r\nhost: a\r\nauthorization: Bearer ${secret}\r\ncontent-length: 20\r\n\r\n{"id"`;
        await open(operatorsAddress, halfBody(deployments.OPERATOR_TOKEN));
        await open(peersAddress, halfBody('a-secret-that-peers-share'));
        const kill = setTimeout(
          () => process.signal('SIGKILL'),
          IDLE_STOP_LIMIT_MS,
        );
        process.signal('SIGTERM');
        const exitCode = await process.waitForExit();
        clearTimeout(kill);
        earl.expect(exitCode).toEqual(0);
      });
    },
  );
});
