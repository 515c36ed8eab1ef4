import * as events from 'node:events';
import type * as http from 'node:http';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as httpService from '../../../src/services/http/index.js';

/** More than the system buffers of both ends of a connection take. */
const LARGE_ANSWER = Buffer.alloc(24 * 1024 * 1024, 'x');

/** More than the receiver's buffer takes, and less than the sender's. */
const BUFFERED_ANSWER = Buffer.alloc(1024 * 1024, 'y');

/** How long the caller leaves an answer unread, in which a reset of the connection would arrive. */
const UNREAD_MS = 100;
const CLOSE_TIMEOUT_MS = 100;

const REQUEST = 'GET / HTTP/1.1\r\nhost: a.example\r\n\r\n';

/** A caller that reads only when it is told to. */
class SlowCaller {
  private readonly socket: net.Socket;
  private receivedBytes = 0;

  private constructor(socket: net.Socket) {
    this.socket = socket;
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      this.receivedBytes += chunk.length;
    });
    socket.pause();
  }

  static async connect(
    listener: httpService.HttpListener,
  ): Promise<SlowCaller> {
    const socket = listener.connect();
    await events.EventEmitter.once(socket, 'connect');
    return new SlowCaller(socket);
  }

  write(bytes: string): void {
    this.socket.write(bytes);
  }

  /** Reads until the connection ends. Returns the number of bytes received. */
  async readToEnd(): Promise<number> {
    const closed = events.EventEmitter.once(this.socket, 'close');
    this.socket.resume();
    await closed;
    return this.receivedBytes;
  }

  destroy(): void {
    this.socket.destroy();
  }
}

/** A listener with one caller, whose requests the test answers. */
interface Opened {
  readonly listener: httpService.HttpListener;
  readonly caller: SlowCaller;

  /** Waits for the next request that the listener reads. */
  readonly waitForRequest: () => Promise<http.ServerResponse>;
}

async function withCaller(
  run: (opened: Opened) => Promise<void>,
): Promise<void> {
  const requests = new events.EventEmitter();
  const listener = new httpService.HttpListener(
    {host: '127.0.0.1', port: 0},
    (request, response) => requests.emit('request', response),
  );
  await listener.open();
  const caller = await SlowCaller.connect(listener);
  const waitForRequest = async () => {
    const [response] = await events.EventEmitter.once(requests, 'request');
    return response as http.ServerResponse;
  };
  try {
    await run({listener, caller, waitForRequest});
  } finally {
    caller.destroy();
    listener.closeNow();
  }
}

void test.describe('HttpListener', {timeout: 30_000}, () => {
  void test.it('sends an answer to its end while it closes', async () => {
    await withCaller(async ({listener, caller, waitForRequest}) => {
      const received = waitForRequest();
      caller.write(REQUEST);
      (await received).end(LARGE_ANSWER);
      const closed = listener.close();
      earl
        .expect(await caller.readToEnd())
        .toBeGreaterThan(LARGE_ANSWER.length);
      await closed;
    });
  });

  void test.it(
    'does not reset an answer that a caller is still reading',
    async () => {
      await withCaller(async ({caller, waitForRequest}) => {
        const received = waitForRequest();
        caller.write(REQUEST);
        const response = await received;
        response.setHeader('connection', 'close');
        response.end(BUFFERED_ANSWER);
        await events.EventEmitter.once(response, 'finish');
        // Further requests, which are never read.
        caller.write(REQUEST.repeat(1000));
        await timers.setTimeout(UNREAD_MS);
        earl
          .expect(await caller.readToEnd())
          .toBeGreaterThan(BUFFERED_ANSWER.length);
      });
    },
  );

  void test.it(
    'answers a request behind an answer that is being sent',
    async () => {
      await withCaller(async ({listener, caller, waitForRequest}) => {
        const first = waitForRequest();
        caller.write(REQUEST);
        const firstResponse = await first;
        const second = waitForRequest();
        caller.write(REQUEST);
        const secondResponse = await second;
        firstResponse.end(LARGE_ANSWER);
        const closed = listener.close();
        const read = caller.readToEnd();
        await events.EventEmitter.once(firstResponse, 'finish');
        secondResponse.end(BUFFERED_ANSWER);
        earl
          .expect(await read)
          .toBeGreaterThan(LARGE_ANSWER.length + BUFFERED_ANSWER.length);
        await closed;
      });
    },
  );

  void test.it('closes idle connections', async () => {
    await withCaller(async ({listener, caller}) => {
      const closed = listener.close();
      earl.expect(await caller.readToEnd()).toEqual(0);
      await closed;
    });
  });

  void test.it(
    'closes within a timeout despite an unanswered request',
    async () => {
      await withCaller(async ({listener, caller, waitForRequest}) => {
        const received = waitForRequest();
        caller.write(REQUEST);
        await received;
        const cutOff = await listener.closeWithin(CLOSE_TIMEOUT_MS);
        earl.expect(cutOff).toEqual({connectionCount: 1, unsentBytes: 0});
        earl.expect(await caller.readToEnd()).toEqual(0);
      });
    },
  );
});
