import * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as http from '../../../src/services/http/index.js';

/** Virtual time that the process spends on each connection. */
const WORK_MS = 4;
const CONNECTION_COUNT = 80;

/** How far the estimated waiting time of a connection may exceed the actual one: two probe intervals. */
const MAX_EXCESS_MS = 100;

interface Accepted {
  readonly address: string;
  readonly port: number;
  readonly arrivalMs: number;
}

/** A monitored listener in virtual time, which advances only when a connection is accepted. */
interface MonitoredListener {
  readonly connect: (localAddress?: string) => net.Socket;
  readonly accepted: readonly Accepted[];
  readonly monitor: http.AcceptQueueMonitor;
  readonly getNowMs: () => number;

  /** Calls `listener` with each further connection, after its arrival has been taken. */
  readonly onAccepted: (listener: (socket: net.Socket) => void) => void;
}

async function withMonitor(
  run: (monitored: MonitoredListener) => Promise<void>,
  Listener = http.HttpListener,
): Promise<void> {
  let nowMs = 0;
  const listener = new Listener({host: '127.0.0.1', port: 0}, () => undefined);
  const accepted: Accepted[] = [];
  const sockets: net.Socket[] = [];
  const getNowMs = () => nowMs;
  const monitor = new http.AcceptQueueMonitor(listener, getNowMs, getNowMs);
  listener.onConnection(socket => {
    const arrivalMs = monitor.takeFirstArrivalMs(socket);
    if (arrivalMs !== undefined)
      accepted.push({
        address: socket.remoteAddress ?? '',
        port: socket.remotePort ?? 0,
        arrivalMs,
      });
    nowMs += WORK_MS;
  });
  await listener.open();
  const port = Number(listener.getAddress().split(':')[1]);
  const connect = (localAddress = '127.0.0.1') => {
    const socket = net.connect({host: '127.0.0.1', port, localAddress});
    sockets.push(socket);
    return socket;
  };
  try {
    const onAccepted = (onConnection: (socket: net.Socket) => void) =>
      listener.onConnection(onConnection);
    await run({connect, accepted, monitor, getNowMs, onAccepted});
  } finally {
    monitor.close();
    for (const socket of sockets) socket.destroy();
    listener.closeNow();
  }
}

function waitForTurn(): Promise<void> {
  return new Promise(resolve => {
    setImmediate(resolve);
  });
}

void test.describe('AcceptQueueMonitor', () => {
  void test.it('bounds the arrival times of waiting connections', async () => {
    await withMonitor(async ({connect, accepted, getNowMs}) => {
      const sentAtMs = new Map<number, number>();
      const sent: {readonly socket: net.Socket; readonly atMs: number}[] = [];
      // In each turn two connections join the queue and one is accepted.
      while (sent.length < CONNECTION_COUNT) {
        for (let count = 0; count < 2; count++)
          sent.push({socket: connect(), atMs: getNowMs()});
        await waitForTurn();
      }
      while (accepted.length < CONNECTION_COUNT) await waitForTurn();
      for (const {socket, atMs} of sent)
        sentAtMs.set(socket.localPort ?? 0, atMs);
      const errors = accepted.map(
        ({port, arrivalMs}) => (sentAtMs.get(port) ?? NaN) - arrivalMs,
      );
      // Connections that arrived in the same turn as the first one get its arrival time.
      earl.expect(Math.min(...errors)).toBeGreaterThan(-2 * WORK_MS);
      earl.expect(Math.max(...errors)).toBeLessThan(MAX_EXCESS_MS);
    });
  });

  void test.it(
    'accepts a caller that has the same port as a probe',
    async () => {
      let twin: net.Socket | undefined;
      class TwinListener extends http.HttpListener {
        override connect(): net.Socket {
          const port = Number(this.getAddress().split(':')[1]);
          const localPort = twin?.localPort;
          return net.connect({host: '127.0.0.1', port, localPort});
        }
      }
      await withMonitor(async ({connect, accepted}) => {
        for (let count = 1; count < CONNECTION_COUNT; count++) connect();
        twin = connect('127.0.0.2');
        while (accepted.length < CONNECTION_COUNT) await waitForTurn();
        const addresses = accepted.map(({address}) => address);
        earl
          .expect(addresses.filter(one => one === '127.0.0.2').length)
          .toEqual(1);
      }, TwinListener);
    },
  );

  void test.it(
    'takes only the first request of a connection for as old as the connection',
    async () => {
      const laterArrivalsMs: (number | undefined)[] = [];
      await withMonitor(async ({connect, accepted, monitor, onAccepted}) => {
        onAccepted(socket =>
          laterArrivalsMs.push(monitor.takeFirstArrivalMs(socket)),
        );
        connect();
        while (accepted.length < 1) await waitForTurn();
        earl.expect(laterArrivalsMs).toEqual([undefined]);
      });
    },
  );

  void test.it('opens no probe after it is closed', async () => {
    let probeCount = 0;
    class CountingListener extends http.HttpListener {
      override connect(): net.Socket {
        probeCount += 1;
        return super.connect();
      }
    }
    await withMonitor(async ({connect, accepted, monitor}) => {
      for (let count = 0; count < CONNECTION_COUNT; count++) connect();
      monitor.close();
      while (accepted.length < CONNECTION_COUNT) await waitForTurn();
      earl.expect(probeCount).toEqual(0);
    }, CountingListener);
  });

  void test.it(
    'reports an empty queue after a turn without a connection',
    async () => {
      await withMonitor(async ({connect, accepted, monitor}) => {
        connect();
        connect();
        while (accepted.length < 2) await waitForTurn();
        earl.expect(monitor.waitMs).toBeGreaterThan(0);
        await waitForTurn();
        await waitForTurn();
        earl.expect(monitor.waitMs).toEqual(0);
      });
    },
  );
});
