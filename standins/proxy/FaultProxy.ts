import * as net from 'node:net';
import * as connections from './ProxyConnection.js';
import type * as faults from './ProxyFault.js';

export type {ProxyFault} from './ProxyFault.js';

const REOPEN_CHECK_INTERVAL_MS = 50;

/**
 * Forwards TCP connections to a target and injects faults, with a separate fault for each source address.
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
  private receivedBytes = 0;
  private isClosed = false;
  private defaultFault: faults.ProxyFault = {kind: 'none'};

  /** @param target The address that connections are forwarded to, as host:port. */
  constructor(target: string, host = '127.0.0.1') {
    const [targetHost, targetPort] = target.split(':');
    this.host = host;
    this.targetHost = targetHost;
    this.targetPort = Number(targetPort);
  }

  /** Starts listening and returns the address as host:port. */
  async open(): Promise<string> {
    await this.listen();
    return this.getAddress();
  }

  /** Gets the address as host:port. */
  getAddress(): string {
    return `${this.host}:${this.port}`;
  }

  /** Gets the number of bytes received from callers and from the target. */
  getReceivedBytes(): number {
    return this.receivedBytes;
  }

  /** Sets the fault for one source address, or for all addresses that have no fault of their own. */
  setFault(fault: faults.ProxyFault, sourceHost?: string): void {
    if (sourceHost === undefined) this.defaultFault = fault;
    else this.faults.set(sourceHost, fault);
    if (fault.kind === 'cut') this.resetConnections(sourceHost);
  }

  /** Stops listening and resets all connections. */
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
    return this.faults.get(sourceHost) ?? this.defaultFault;
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
    target.on('error', error => this.handleTargetError(error));
    const connection = new connections.ProxyConnection(caller, target, {
      getFault: () => this.getFault(sourceHost),
      onBytes: sizeBytes => (this.receivedBytes += sizeBytes),
      onClose: () => this.connections.delete(connection),
    });
    this.connections.add(connection);
  }

  /** Stops listening when the target refuses a connection, until it accepts connections again. */
  private handleTargetError(error: Error): void {
    const {code} = error as {readonly code?: string};
    if (code === 'ECONNREFUSED' && this.server !== undefined)
      void this.closeServer().then(() => this.waitForTarget());
  }

  private waitForTarget(): void {
    if (this.isClosed) return;
    const probe = net.connect(this.targetPort, this.targetHost);
    probe.once('connect', () => {
      probe.destroy();
      if (!this.isClosed) void this.listen();
    });
    probe.once('error', () =>
      setTimeout(() => this.waitForTarget(), REOPEN_CHECK_INTERVAL_MS),
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
