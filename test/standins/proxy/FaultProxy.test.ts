import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as proxies from '../../../standins/proxy/FaultProxy.js';

/** Delay in milliseconds of forwarded bytes. */
const DELAY_MS = 80;

/** Time in milliseconds during which the caller must receive nothing more. */
const SILENCE_WAIT_MS = 300;

/** A connection through a proxy, with the sockets of the caller and of the target. */
class ProxiedConnection {
  readonly proxy: proxies.FaultProxy;
  readonly caller: net.Socket;
  readonly accepted: net.Socket;
  private readonly server: net.Server;
  private readonly receivedEvents: string[] = [];

  private constructor(
    proxy: proxies.FaultProxy,
    caller: net.Socket,
    accepted: net.Socket,
    server: net.Server,
  ) {
    this.proxy = proxy;
    this.caller = caller;
    this.accepted = accepted;
    this.server = server;
    accepted.on('error', () => accepted.destroy());
    caller.on('error', () => this.receivedEvents.push('reset'));
    caller.on('data', chunk => this.receivedEvents.push(chunk.toString()));
    caller.on('end', () => this.receivedEvents.push('end'));
  }

  static async open(): Promise<ProxiedConnection> {
    const server = net.createServer({allowHalfOpen: true, noDelay: true});
    server.listen(0, '127.0.0.1');
    await events.EventEmitter.once(server, 'listening');
    const {port} = server.address() as net.AddressInfo;
    const proxy = new proxies.FaultProxy(`127.0.0.1:${port}`);
    const [host, proxyPort] = (await proxy.open()).split(':');
    const caller = net.connect({
      host,
      port: Number(proxyPort),
      allowHalfOpen: true,
    });
    const [accepted] = (await events.EventEmitter.once(
      server,
      'connection',
    )) as [net.Socket];
    return new ProxiedConnection(proxy, caller, accepted, server);
  }

  /** Sends bytes from the target and waits until the proxy has read them. */
  async sendFromTarget(text: string): Promise<void> {
    const expectedBytes = this.proxy.getReceivedBytes() + text.length;
    this.accepted.write(text);
    while (this.proxy.getReceivedBytes() < expectedBytes)
      await timers.setTimeout(1);
  }

  /** Waits until the caller has received at least `count` events; returns all of them. */
  async waitForEvents(count: number): Promise<readonly string[]> {
    while (this.receivedEvents.length < count) await timers.setTimeout(1);
    return this.receivedEvents;
  }

  /** Waits for SILENCE_WAIT_MS; returns all events that the caller has received by then. */
  async collectAfterSilence(): Promise<readonly string[]> {
    await timers.setTimeout(SILENCE_WAIT_MS);
    return this.receivedEvents;
  }

  async close(): Promise<void> {
    await this.proxy.close();
    this.caller.destroy();
    this.accepted.destroy();
    this.server.close();
  }
}

void test.describe('FaultProxy', {timeout: 60_000}, () => {
  void test.it('forwards bytes and the end of a connection', async () => {
    const connection = await ProxiedConnection.open();
    await connection.sendFromTarget('one');
    connection.accepted.end();
    const receivedEvents = await connection.waitForEvents(2);
    await connection.close();
    earl.expect(receivedEvents).toEqual(['one', 'end']);
  });

  // Guards against a truncated answer without a content length that the caller takes for complete.
  // It happens when the proxy drops bytes but forwards the end of the connection.
  void test.it('forwards no end after it has dropped bytes', async () => {
    const connection = await ProxiedConnection.open();
    await connection.sendFromTarget('one');
    await connection.waitForEvents(1);
    connection.proxy.setFault({kind: 'dropAnswers'});
    await connection.sendFromTarget('two');
    connection.proxy.setFault({kind: 'none'});
    await connection.sendFromTarget('three');
    connection.accepted.end();
    const receivedEvents = await connection.collectAfterSilence();
    await connection.close();
    earl
      .expect(receivedEvents.filter(event => event !== 'reset'))
      .toEqual(['one']);
  });

  void test.it(
    'keeps the order of bytes when a delay fault is removed',
    async () => {
      const connection = await ProxiedConnection.open();
      connection.proxy.setFault({kind: 'delay', delayMs: DELAY_MS});
      await connection.sendFromTarget('one');
      connection.proxy.setFault({kind: 'none'});
      await connection.sendFromTarget('two');
      connection.accepted.end();
      await connection.waitForEvents(2);
      const receivedEvents = await connection.collectAfterSilence();
      await connection.close();
      earl.expect(receivedEvents.join('')).toEqual('onetwoend');
    },
  );

  void test.it('forwards a reset as a reset', async () => {
    const connection = await ProxiedConnection.open();
    await connection.sendFromTarget('one');
    await connection.waitForEvents(1);
    connection.accepted.resetAndDestroy();
    const receivedEvents = await connection.waitForEvents(2);
    await connection.close();
    earl.expect(receivedEvents).toEqual(['one', 'reset']);
  });

  void test.it('forwards a reset that follows bytes at once', async () => {
    const connection = await ProxiedConnection.open();
    connection.accepted.write('one', () =>
      connection.accepted.resetAndDestroy(),
    );
    const receivedEvents = await connection.waitForEvents(1);
    await connection.collectAfterSilence();
    await connection.close();
    earl.expect(receivedEvents.at(-1)).toEqual('reset');
  });

  void test.it(
    'resets open connections when the fault is set to cut',
    async () => {
      const connection = await ProxiedConnection.open();
      await connection.sendFromTarget('one');
      await connection.waitForEvents(1);
      connection.proxy.setFault({kind: 'cut'});
      const receivedEvents = await connection.waitForEvents(2);
      await connection.close();
      earl.expect(receivedEvents).toEqual(['one', 'reset']);
    },
  );
});
