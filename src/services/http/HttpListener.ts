import * as http from 'node:http';
import * as net from 'node:net';
import type * as settings from '../../codecs/settings/index.js';

/** How long in milliseconds an idle connection is kept. */
const KEEP_ALIVE_MS = 30_000;

/**
 * The most connections that wait to be accepted: the smallest VM answers as many in a fifth of a second. Callers that
 * find no room try another VM; in a longer queue their time would pass unseen.
 */
const MAX_WAITING_CONNECTIONS = 128;

/** A listening HTTP socket that closes without cutting a request. */
export class HttpListener {
  private readonly server: http.Server;
  private readonly address: settings.ListenAddress;
  private isClosing = false;

  /** @param handler Answers each request. */
  constructor(address: settings.ListenAddress, handler: http.RequestListener) {
    this.address = address;
    this.server = http.createServer((request, response) => {
      if (this.isClosing) response.setHeader('connection', 'close');
      handler(request, response);
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Starts to listen. @throws Error when the address is taken. */
  async open(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(
        this.address.port,
        this.address.host,
        MAX_WAITING_CONNECTIONS,
        resolve,
      );
    });
  }

  /** Calls back for each connection that is accepted. */
  onConnection(listener: (socket: net.Socket) => void): void {
    this.server.on('connection', listener);
  }

  /** Connects to the listener itself. */
  connect(): net.Socket {
    const {port} = this.server.address() as net.AddressInfo;
    return net.connect(port, this.address.host);
  }

  /** Gets the address as host:port, with the port that was given. */
  getAddress(): string {
    const {port} = this.server.address() as net.AddressInfo;
    return `${this.address.host}:${port}`;
  }

  /** Sets how long in milliseconds callers may stay idle and may take for a request's headers. */
  setCallerLimits(idleMs: number, headersMs: number): void {
    this.server.keepAliveTimeout = idleMs;
    this.server.headersTimeout = headersMs;
  }

  /** Takes no new connection and closes all that are open. */
  closeNow(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Asks callers to leave: each answer from now on closes its connection. */
  startClosing(): void {
    this.isClosing = true;
  }

  /** Takes no new connection, waits for the requests under way, and closes. */
  async close(): Promise<void> {
    this.isClosing = true;
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    this.server.closeIdleConnections();
    await closed;
  }
}
