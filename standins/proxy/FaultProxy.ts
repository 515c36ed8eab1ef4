import * as net from 'node:net';
import * as connections from './ProxyConnection.js';
import type * as faults from './ProxyFault.js';

export type {ProxyFault} from './ProxyFault.js';

const REOPEN_CHECK_MS = 50;

/**
 * Passes TCP connections to a target and injects faults, for each source address its own.
 * While the target refuses connections, the proxy refuses them as well.
 */
export class FaultProxy {
  private readonly host: string;
  private readonly targetHost: string;
  private readonly targetPort: number;
  private readonly faults = new Map<string, faults.ProxyFault>();
  private readonly connections = new Set<connections.ProxyConnection>();
  private server: net.Server | undefined;
  private port = 0;
  private passedBytes = 0;
  private isClosed = false;
  private fault: faults.ProxyFault = {kind: 'none'};

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
  setFault(fault: faults.ProxyFault, sourceHost?: string): void {
    if (sourceHost === undefined) this.fault = fault;
    else this.faults.set(sourceHost, fault);
    if (fault.kind === 'cut') this.resetConnections(sourceHost);
  }

  /** Closes everything. */
  async close(): Promise<void> {
    this.isClosed = true;
    this.resetConnections(undefined);
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

  private getFault(sourceHost: string): faults.ProxyFault {
    return this.faults.get(sourceHost) ?? this.fault;
  }

  private accept(caller: net.Socket): void {
    const sourceHost = caller.remoteAddress ?? '';
    if (this.getFault(sourceHost).kind === 'cut') {
      caller.destroy();
      return;
    }
    const target = net.connect({
      port: this.targetPort,
      host: this.targetHost,
      allowHalfOpen: true,
      noDelay: true,
    });
    target.on('error', error => this.noteTargetError(error));
    const connection = new connections.ProxyConnection(caller, target, {
      getFault: () => this.getFault(sourceHost),
      onBytes: sizeBytes => (this.passedBytes += sizeBytes),
      onClose: () => this.connections.delete(connection),
    });
    this.connections.add(connection);
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
    this.resetConnections(undefined);
    await closed;
  }

  private resetConnections(sourceHost: string | undefined): void {
    for (const connection of this.connections)
      if (sourceHost === undefined || connection.sourceHost === sourceHost)
        connection.reset();
  }
}
