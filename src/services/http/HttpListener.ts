import type * as http from 'node:http';
import * as net from 'node:net';
import type * as settings from '../../codecs/settings/index.js';
import * as memories from './AnswerMemory.js';
import * as servers from './HttpServer.js';
import * as readTimeouts from './ReadTimeout.js';

/** How long an idle connection is kept open unless the caller limits set another time. */
const DEFAULT_IDLE_TIMEOUT_MS = 30_000;

/**
 * Length of the accept queue: the smallest VM answers as many connections in 200 ms. Callers that find the queue full
 * try another VM; in a longer queue their time limits would expire unnoticed.
 */
const MAX_BACKLOG_CONNECTIONS = 128;

/** What a listener holds for its connections when it shares the bound with no other. */
const DEFAULT_ANSWER_BYTES = 64 * 1_048_576;

/** The connections that a listener closed at once. */
export interface ClosedConnections {
  /** Includes those that only waited for their callers to close as well. */
  readonly connectionCount: number;

  /** The bytes that had been written to the connections and that the system had not taken yet. */
  readonly unsentBytes: number;
}

/** A listener whose connections close without losing answers. */
export class HttpListener {
  private readonly server: servers.HttpServer;
  private readonly address: settings.ListenAddress;

  /**
   * @param handler Answers each request.
   * @param memory Bounds what the connections of all listeners of the process hold.
   */
  constructor(
    address: settings.ListenAddress,
    handler: http.RequestListener,
    memory = new memories.AnswerMemory(DEFAULT_ANSWER_BYTES),
  ) {
    this.address = address;
    this.server = new servers.HttpServer(handler, memory);
    this.server.keepAliveTimeout = DEFAULT_IDLE_TIMEOUT_MS;
  }

  /** Starts to listen. @throws Error when the address is in use. */
  async open(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(
        this.address.port,
        this.address.host,
        MAX_BACKLOG_CONNECTIONS,
        resolve,
      );
    });
  }

  /** Calls `listener` with the socket of each connection that is accepted. */
  onConnection(listener: (socket: net.Socket) => void): void {
    this.server.on('connection', listener);
  }

  /** Connects to the listener itself. */
  connect(): net.Socket {
    const {port} = this.server.address() as net.AddressInfo;
    return net.connect(port, this.address.host);
  }

  /** Gets the address as host:port, with the port that the system assigned if 0 was requested. */
  getAddress(): string {
    const {port} = this.server.address() as net.AddressInfo;
    return `${this.address.host}:${port}`;
  }

  /** Sets how long callers may stay idle and how long they may take to send headers, both in milliseconds. */
  setCallerLimits(idleTimeoutMs: number, headersTimeoutMs: number): void {
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headersTimeoutMs;
  }

  /** Stops accepting connections, and closes each one once the answers to its requests have been sent. */
  async close(): Promise<void> {
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  /** Closes like `close`, and all that is still open after a timeout in milliseconds. Returns what was cut off. */
  async closeWithin(timeoutMs: number): Promise<ClosedConnections> {
    const timeout = new readTimeouts.ReadTimeout(timeoutMs);
    await Promise.race([
      this.close(),
      new Promise<void>(resolve =>
        timeout.signal.addEventListener('abort', () => resolve()),
      ),
    ]);
    timeout.cancel();
    return this.closeNow();
  }

  /** Stops accepting connections and closes all that are open. Returns how much that cut off. */
  closeNow(): ClosedConnections {
    const open = this.server.getOpenConnections();
    const unsentBytes = open.reduce(
      (sum, {unsentBytes}) => sum + unsentBytes,
      0,
    );
    this.server.close();
    this.server.closeAllConnections();
    return {connectionCount: open.length, unsentBytes};
  }
}
