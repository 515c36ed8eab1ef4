import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as earl from 'earl';
import * as sockets from '../../../standins/proxy/resetSocket.js';

interface Connection {
  readonly caller: net.Socket;
  readonly accepted: net.Socket;
}

async function connect(): Promise<Connection> {
  const server = net.createServer();
  server.listen(0, '127.0.0.1');
  await events.EventEmitter.once(server, 'listening');
  const {port} = server.address() as net.AddressInfo;
  const caller = net.connect({port, allowHalfOpen: true});
  const [accepted] = (await events.EventEmitter.once(server, 'connection')) as [
    net.Socket,
  ];
  server.close();
  caller.resume();
  return {caller, accepted};
}

/** Waits until a socket closes or fails; returns the error code, or `closed` when there was no error. */
async function waitForOutcome(socket: net.Socket): Promise<string> {
  return await new Promise(resolve => {
    socket.once('error', error =>
      resolve(String((error as {readonly code?: string}).code)),
    );
    socket.once('close', () => resolve('closed'));
  });
}

void test.describe('resetSocket', {timeout: 60_000}, () => {
  void test.it('resets an open connection', async () => {
    const {caller, accepted} = await connect();
    const outcome = waitForOutcome(caller);
    sockets.resetSocket(accepted);
    earl.expect(await outcome).toEqual('ECONNRESET');
  });

  // Guards against a test process that stays busy after its last test: Node.js rejects a reset right after end() and
  // leaks the socket's handle.
  void test.it('closes a connection that has just been ended', async () => {
    const {caller, accepted} = await connect();
    const outcome = waitForOutcome(accepted);
    accepted.end();
    sockets.resetSocket(accepted);
    earl.expect(await outcome).toEqual('closed');
    caller.destroy();
  });
});
