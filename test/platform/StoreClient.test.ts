import * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as clients from '../../platform/StoreClient.js';
import * as streams from '../../standins/store/writeUntilClosed.js';
import * as cuts from '../support/upstreams/getCutOffAnswers.js';
import * as closing from '../support/upstreams/withClosingUpstream.js';

/** The upper bound on the bytes of an endless answer that the server can send before the client aborts it. */
const MAX_ACCEPTED_BYTES = 32 * 1024 * 1024;
const HEAD = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
const LARGE_CHUNK = Buffer.from(`10000\r\n${' '.repeat(0x10000)}\r\n`);
const SMALL_CHUNKS = Buffer.from('1\r\n \r\n'.repeat(10_000));
const EXTENSION_PART = Buffer.alloc(65_536, 'x');
const TIMEOUT_MS = 20_000;

void test.describe('StoreClient', () => {
  // Guards against an answer without end that takes the memory or the processor time of a VM.
  for (const [name, head, part] of [
    ['large chunks', HEAD, LARGE_CHUNK],
    ['chunks of one byte', HEAD, SMALL_CHUNKS],
    ['one chunk extension', `${HEAD}1;`, EXTENSION_PART],
  ] as const)
    void test.it(`aborts an answer without end in ${name}`, async () => {
      let writtenBytes = 0;
      const sockets = new Set<net.Socket>();
      const server = net.createServer(socket => {
        sockets.add(socket);
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.write(head);
          streams.writeUntilClosed(socket, part, () => {
            writtenBytes += part.length;
          });
        });
      });
      await new Promise<void>(resolve =>
        server.listen(0, '127.0.0.1', () => resolve()),
      );
      const {port} = server.address() as net.AddressInfo;
      const client = new clients.StoreClient(
        `127.0.0.1:${port}`,
        new Map(),
        '127.0.0.1',
      );
      try {
        const {result} = await client.readOperatorRows(TIMEOUT_MS);
        earl.expect(result.kind).toEqual('unavailable');
        earl.expect(writtenBytes).toBeLessThan(MAX_ACCEPTED_BYTES);
      } finally {
        await client.close();
        server.close();
        for (const socket of sockets) socket.destroy();
      }
    });

  // Guards against rows that are missing because an answer without a length was cut off.
  void test.it('takes no rows from an answer that is cut off', async () => {
    const row = {Key: 'config', Value: 'e30='};
    const body = JSON.stringify({Rows: [row], SchemaVersion: 12});
    for (const answer of cuts.getCutOffAnswers(body))
      await closing.withClosingUpstream(answer, 'reset', async address => {
        const client = new clients.StoreClient(address, new Map(), '127.0.0.1');
        const kind = await client.readOperatorRows(TIMEOUT_MS).then(
          ({result}) => result.kind,
          () => 'rejected',
        );
        await client.close();
        // The store service takes a rejected call for one that brought nothing.
        earl.expect(['rejected', 'unavailable'].includes(kind)).toEqual(true);
      });
  });
});
