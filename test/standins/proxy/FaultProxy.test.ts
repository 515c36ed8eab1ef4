import * as events from 'node:events';
import * as net from 'node:net';
import * as test from 'node:test';
import * as timers from 'node:timers/promises';
import * as earl from 'earl';
import * as proxies from '../../../standins/proxy/FaultProxy.js';

/** How long in milliseconds bytes are held up, and how long nothing may come. */
const DELAY_MS = 80;
const SILENCE_MS = 300;

/** A connection through a proxy, as both of its ends see it. */
class ProxiedConnection {
  readonly proxy: proxies.FaultProxy;
  readonly caller: net.Socket;
  readonly accepted: net.Socket;
  private readonly server: net.Server;
  private readonly received: string[] = [];

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
    caller.on('error', () => this.received.push('reset'));
    caller.on('data', chunk => this.received.push(chunk.toString()));
    caller.on('end', () => this.received.push('end'));
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
  async answer(text: string): Promise<void> {
    const passedBytes = this.proxy.getPassedBytes() + text.length;
    this.accepted.write(text);
    while (this.proxy.getPassedBytes() < passedBytes)
      await timers.setTimeout(1);
  }

  /** Waits until the caller has got so many events; gets them. */
  async take(count: number): Promise<readonly string[]> {
    while (this.received.length < count) await timers.setTimeout(1);
    return this.received;
  }

  /** Gets what the caller gets while nothing should come. */
  async takeLate(): Promise<readonly string[]> {
    await timers.setTimeout(SILENCE_MS);
    return this.received;
  }

  async close(): Promise<void> {
    await this.proxy.close();
    this.caller.destroy();
    this.accepted.destroy();
    this.server.close();
  }
}

void test.describe('FaultProxy', {timeout: 60_000}, () => {
  void test.it('passes bytes and the end of a connection', async () => {
    const connection = await ProxiedConnection.open();
    await connection.answer('one');
    connection.accepted.end();
    const received = await connection.take(2);
    await connection.close();
    earl.expect(received).toEqual(['one', 'end']);
  });

  // Guards against an answer without a length that was cut short and taken for whole.
  void test.it('passes no end after bytes that it dropped', async () => {
    const connection = await ProxiedConnection.open();
    await connection.answer('one');
    await connection.take(1);
    connection.proxy.setFault({kind: 'dropAnswers'});
    await connection.answer('two');
    connection.proxy.setFault({kind: 'none'});
    await connection.answer('three');
    connection.accepted.end();
    const received = await connection.takeLate();
    await connection.close();
    earl.expect(received.filter(event => event !== 'reset')).toEqual(['one']);
  });

  void test.it('keeps bytes in order when a delay ends', async () => {
    const connection = await ProxiedConnection.open();
    connection.proxy.setFault({kind: 'delay', delayMs: DELAY_MS});
    await connection.answer('one');
    connection.proxy.setFault({kind: 'none'});
    await connection.answer('two');
    connection.accepted.end();
    await connection.take(2);
    const received = await connection.takeLate();
    await connection.close();
    earl.expect(received.join('')).toEqual('onetwoend');
  });

  void test.it('passes a reset as a reset', async () => {
    const connection = await ProxiedConnection.open();
    await connection.answer('one');
    await connection.take(1);
    connection.accepted.resetAndDestroy();
    const received = await connection.take(2);
    await connection.close();
    earl.expect(received).toEqual(['one', 'reset']);
  });

  void test.it('passes a reset that comes right behind bytes', async () => {
    const connection = await ProxiedConnection.open();
    connection.accepted.write('one', () =>
      connection.accepted.resetAndDestroy(),
    );
    const received = await connection.take(1);
    await connection.takeLate();
    await connection.close();
    earl.expect(received.at(-1)).toEqual('reset');
  });

  void test.it('resets connections when it is cut', async () => {
    const connection = await ProxiedConnection.open();
    await connection.answer('one');
    await connection.take(1);
    connection.proxy.setFault({kind: 'cut'});
    const received = await connection.take(2);
    await connection.close();
    earl.expect(received).toEqual(['one', 'reset']);
  });
});
