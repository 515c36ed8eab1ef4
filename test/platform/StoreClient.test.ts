import * as http from 'node:http';
import type * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as clients from '../../platform/StoreClient.js';
import * as streams from '../../standins/store/writeUntilClosed.js';

/** The upper bound on the bytes of an endless answer that the server can send before the client aborts it. */
const MAX_ACCEPTED_BYTES = 32 * 1024 * 1024;
const CHUNK = Buffer.alloc(65_536, ' ');
const TIMEOUT_MS = 20_000;

void test.describe('StoreClient', () => {
  void test.it('aborts an answer that does not end', async () => {
    let writtenBytes = 0;
    const server = http.createServer((_, response) => {
      streams.writeUntilClosed(response, CHUNK, () => {
        writtenBytes += CHUNK.length;
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
      const result = await client.readOperatorRows(TIMEOUT_MS);
      earl.expect(result.kind).toEqual('unavailable');
      earl.expect(writtenBytes).toBeLessThan(MAX_ACCEPTED_BYTES);
    } finally {
      await client.close();
      server.close();
      server.closeAllConnections();
    }
  });
});
