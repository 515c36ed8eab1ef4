import * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as undici from 'undici';
import * as http from '../../../src/services/http/index.js';
import * as errors from '../../../src/model/errors/index.js';
import * as streams from '../../../standins/store/writeUntilClosed.js';
import * as cuts from '../../support/upstreams/withClosingUpstream.js';

const MAX_BYTES = 100_000;
const POST_HEAD = 'POST / HTTP/1.1\r\nhost: a\r\n';

/** Sends a request to a listener that reads its body, and returns what a caller receives until the connection closes. */
async function exchange(
  send: (socket: net.Socket) => void,
): Promise<{readonly received: string; readonly outcome: string}> {
  let outcome = '';
  const listener = new http.HttpListener(
    {host: '127.0.0.1', port: 0},
    (request, response) => {
      void http
        .readBody(request, response, {
          maxBytes: MAX_BYTES,
          memory: new http.BodyMemory('request'),
        })
        .then(({bytes}) => `read ${bytes.length}`)
        .catch((thrown: unknown) => errors.toError(thrown).kind)
        .then(result => {
          outcome = result;
          response.writeHead(200, {'content-length': 0, connection: 'close'});
          if (request.complete) response.end();
          else http.endBeforeBody(response, Buffer.alloc(0));
        });
    },
  );
  await listener.open();
  const socket = net.connect(
    Number(listener.getAddress().split(':')[1]),
    '127.0.0.1',
  );
  let received = '';
  socket.on('data', chunk => {
    received += chunk.toString('latin1');
  });
  socket.on('error', () => {});
  send(socket);
  await new Promise(resolve => socket.once('close', resolve));
  listener.closeNow();
  return {received, outcome};
}

function getSmallChunks(count: number): string {
  return '1\r\nz\r\n'.repeat(count);
}

async function readAnswer(body: string): Promise<string> {
  let text = '';
  await cuts.withClosingUpstream(
    `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n${body}`,
    'end',
    async address => {
      const answer = await undici.request(`http://${address}/`);
      text = await http
        .readAnswerText(answer.body, MAX_BYTES)
        .catch((thrown: unknown) => errors.toError(thrown).message);
    },
  );
  return text;
}

void test.describe('readBody', {timeout: 60_000}, () => {
  void test.it('reads a small body whatever its pieces are', async () => {
    const {outcome} = await exchange(socket =>
      socket.write(
        `${POST_HEAD}transfer-encoding: chunked\r\n\r\n${getSmallChunks(8000)}0\r\n\r\n`,
      ),
    );
    earl.expect(outcome).toEqual('read 8000');
  });

  // Guards against uploads without end that keep the process from answering anybody else.
  void test.it('ends a body in pieces of one byte', async () => {
    const {received, outcome} = await exchange(socket => {
      socket.write(`${POST_HEAD}transfer-encoding: chunked\r\n\r\n`);
      streams.writeUntilClosed(socket, getSmallChunks(10_000), () => {});
    });
    earl.expect(outcome).toEqual('invalidRequest');
    earl.expect(received.startsWith('HTTP/1.1 200 OK')).toEqual(true);
  });

  void test.it('does not wait for a body that is too large', async () => {
    const {received, outcome} = await exchange(socket =>
      socket.write(`${POST_HEAD}content-length: ${MAX_BYTES + 1}\r\n\r\n`),
    );
    earl.expect(outcome).toEqual('invalidRequest');
    earl.expect(received.startsWith('HTTP/1.1 200 OK')).toEqual(true);
  });

  for (const [length, expected] of [
    [4, ['HTTP/1.1 100 Continue', 'HTTP/1.1 200 OK']],
    [MAX_BYTES + 1, ['HTTP/1.1 200 OK']],
  ] as const)
    void test.it(
      `asks for a body of ${length} bytes only if it is read`,
      async () => {
        const {received} = await exchange(socket => {
          socket.write(
            `${POST_HEAD}expect: 100-continue\r\ncontent-length: ${length}\r\n\r\n`,
          );
          socket.once('data', () => socket.write('body'));
        });
        const statusLines = received
          .split('\r\n')
          .filter(line => line.startsWith('HTTP/'));
        earl.expect(statusLines).toEqual([...expected]);
      },
    );
});

void test.describe('HttpListener', {timeout: 60_000}, () => {
  void test.it(
    'closes the connection of a body that its handler leaves unread',
    async () => {
      const listener = new http.HttpListener(
        {host: '127.0.0.1', port: 0},
        (request, response) => void response.end('answer'),
      );
      await listener.open();
      const socket = net.connect(
        Number(listener.getAddress().split(':')[1]),
        '127.0.0.1',
      );
      socket.on('error', () => {});
      socket.resume();
      socket.write(`${POST_HEAD}transfer-encoding: chunked\r\n\r\n`);
      streams.writeUntilClosed(socket, getSmallChunks(10_000), () => {});
      await new Promise(resolve => socket.once('close', resolve));
      listener.closeNow();
    },
  );
});

void test.describe('readAnswerText', {timeout: 60_000}, () => {
  void test.it('reads a whole body', async () => {
    earl
      .expect(await readAnswer('3\r\nans\r\n3\r\nwer\r\n0\r\n\r\n'))
      .toEqual('answer');
  });

  // Guards against an answer of the store or a peer that exhausts the heap.
  for (const [body, expected] of [
    [getSmallChunks(50_000), 'the body of the answer is fragmented'],
    [
      `${(MAX_BYTES + 1).toString(16)}\r\n${'z'.repeat(MAX_BYTES + 1)}`,
      'the body of the answer is tooLarge',
    ],
    ['3\r\nans\r\n', 'the body of the answer is incomplete'],
  ])
    void test.it(`fails: ${expected}`, async () => {
      earl.expect(await readAnswer(body)).toEqual(expected);
    });
});
