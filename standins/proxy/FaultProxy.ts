import * as net from 'node:net';
import * as sockets from './resetSocket.js';

/** What a proxy does with the connections of one source. */
export type ProxyFault =
  | {readonly kind: 'none'}
  /** Bytes come later by this time in milliseconds, in each direction. */
  | {readonly kind: 'delay'; readonly delayMs: number}
  /** Connections are reset at once. */
  | {readonly kind: 'cut'}
  /** Connections stay open and nothing passes. */
  | {readonly kind: 'freeze'}
  /** Nothing passes towards the target. */
  | {readonly kind: 'dropRequests'}
  /** Nothing passes from the target. */
  | {readonly kind: 'dropAnswers'}
  /** Connections are reset after so many bytes from the target. */
  | {readonly kind: 'truncate'; readonly afterBytes: number};

const REOPEN_CHECK_MS = 50;

/**
 * Passes TCP connections to a target and injects faults, for each source address its own.
 * While the target refuses connections, the proxy refuses them as well.
 */
export class FaultProxy {
  private readonly host: string;
  private readonly targetHost: string;
  private readonly targetPort: number;
  private readonly faults = new Map<string, ProxyFault>();
  private readonly sockets = new Set<net.Socket>();
  private server: net.Server | undefined;
  private port = 0;
  private passedBytes = 0;
  private isClosed = false;
  private fault: ProxyFault = {kind: 'none'};

  /** @param target Where connections go, as host:port. */
  constructor(target: string, host = '127.0.0.1') {
    const [targetHost, targetPort] = target.split(':');
    this.host = host;
    this.targetHost = targetHost;
    this.targetPort = Number(targetPort);
  }

  /** Starts to listen and gets the address as host:port. */
  async open(): Promise<string> {
    await this.listen();
    return this.getAddress();
  }

  /** Gets the address as host:port. */
  getAddress(): string {
    return `${this.host}:${this.port}`;
  }

  /** Gets how many bytes came in, from both sides. */
  getPassedBytes(): number {
    return this.passedBytes;
  }

  /** Sets the fault of a source address, or of all others. */
  setFault(fault: ProxyFault, sourceHost?: string): void {
    if (sourceHost === undefined) this.fault = fault;
    else this.faults.set(sourceHost, fault);
    if (fault.kind === 'cut') this.destroySockets(sourceHost);
  }

  /** Closes everything. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.destroySockets(undefined);
    await this.closeServer();
  }

  private async listen(): Promise<void> {
    const server = net.createServer(
      {allowHalfOpen: true, noDelay: true},
      socket => this.accept(socket),
    );
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.port, this.host, resolve);
    });
    this.port = (server.address() as net.AddressInfo).port;
  }

  private getFault(sourceHost: string): ProxyFault {
    return this.faults.get(sourceHost) ?? this.fault;
  }

  private accept(client: net.Socket): void {
    const source = client.remoteAddress ?? '';
    client.on('error', () => client.destroy());
    if (this.getFault(source).kind === 'cut') {
      client.destroy();
      return;
    }
    const target = net.connect({
      port: this.targetPort,
      host: this.targetHost,
      allowHalfOpen: true,
    });
    this.sockets.add(client);
    client.once('close', () => {
      this.sockets.delete(client);
      this.later(source, () => target.destroy());
    });
    target.once('close', isBroken =>
      // A reset stays a reset: the end of a connection can mark the end of an answer.
      this.later(source, () =>
        isBroken ? sockets.resetSocket(client) : client.destroy(),
      ),
    );
    target.on('error', error => this.noteTargetError(error));
    this.pipe(client, target, source, true);
    this.pipe(target, client, source, false);
  }

  private pipe(
    from: net.Socket,
    to: net.Socket,
    source: string,
    isRequest: boolean,
  ): void {
    let sizeBytes = 0;
    from.on('end', () => this.later(source, () => to.end()));
    from.on('data', chunk => {
      const fault = this.getFault(source);
      sizeBytes += chunk.length;
      this.passedBytes += chunk.length;
      switch (fault.kind) {
        case 'none':
          to.write(chunk);
          return;
        case 'delay':
          setTimeout(() => to.write(chunk), fault.delayMs);
          return;
        case 'cut':
          sockets.resetSocket(from);
          sockets.resetSocket(to);
          return;
        case 'freeze':
          return;
        case 'dropRequests':
          if (!isRequest) to.write(chunk);
          return;
        case 'dropAnswers':
          if (isRequest) to.write(chunk);
          return;
        case 'truncate':
          if (isRequest || sizeBytes <= fault.afterBytes) to.write(chunk);
          else {
            sockets.resetSocket(from);
            sockets.resetSocket(to);
          }
          return;
      }
    });
  }

  /** Runs an action after the bytes that came before it have passed. */
  private later(source: string, action: () => void): void {
    const fault = this.getFault(source);
    if (fault.kind === 'delay') setTimeout(action, fault.delayMs);
    else action();
  }

  private noteTargetError(error: Error): void {
    const {code} = error as {readonly code?: string};
    if (code === 'ECONNREFUSED' && this.server !== undefined)
      void this.closeServer().then(() => this.awaitTarget());
  }

  private awaitTarget(): void {
    if (this.isClosed) return;
    const probe = net.connect(this.targetPort, this.targetHost);
    probe.once('connect', () => {
      probe.destroy();
      if (!this.isClosed) void this.listen();
    });
    probe.once('error', () =>
      setTimeout(() => this.awaitTarget(), REOPEN_CHECK_MS),
    );
  }

  private async closeServer(): Promise<void> {
    const server = this.server;
    this.server = undefined;
    if (server === undefined) return;
    const closed = new Promise(resolve => server.close(resolve));
    this.destroySockets(undefined);
    await closed;
  }

  private destroySockets(sourceHost: string | undefined): void {
    for (const socket of this.sockets)
      if (sourceHost === undefined || socket.remoteAddress === sourceHost)
        sockets.resetSocket(socket);
  }
}
