import * as net from 'node:net';
import * as sockets from '../../standins/proxy/resetSocket.js';
import * as streams from '../../standins/store/writeUntilClosed.js';
import * as answers from './AnswerReader.js';

/** How long the caller waits for an answer unless a test says otherwise. */
export const DEFAULT_REMAINING_MS = 3000;

const MS_PER_SECOND = 1000;

const SMALL_CHUNKS = Buffer.from('1\r\nz\r\n'.repeat(10_000));

/** A caller that writes HTTP/1.1 directly to a socket, so that it can pipeline requests on one connection. */
export class RawCaller {
  private readonly socket: net.Socket;
  private readonly reader = new answers.AnswerReader();
  private received = '';
  private closedAt: number | undefined;
  private receivedBytesPerSecond: number;

  private constructor(socket: net.Socket, receivedBytesPerSecond: number) {
    this.socket = socket;
    this.receivedBytesPerSecond = receivedBytesPerSecond;
    // Tests provoke connection errors; without a listener for them the test process would crash.
    socket.on('error', () => undefined);
    socket.once('close', () => {
      this.closedAt = Date.now();
    });
    socket.on('data', chunk => {
      const text = chunk.toString('latin1');
      this.received += text;
      this.reader.add(text);
      this.delayReading(chunk.length);
    });
  }

  /**
   * Connects to a VM's callers' listener.
   *
   * @param receivedBytesPerSecond The rate of the caller's link; bytes beyond it stay in the VM's buffers.
   * @throws Error when the connection fails.
   */
  static async connect(
    host: string,
    port: number,
    receivedBytesPerSecond = Infinity,
  ): Promise<RawCaller> {
    const socket = net.connect(port, host);
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawCaller(socket, receivedBytesPerSecond);
  }

  /** Changes the rate at which the caller receives bytes. */
  setReceiveRate(bytesPerSecond: number): void {
    this.receivedBytesPerSecond = bytesPerSecond;
  }

  /** Sends one GET request for each request ID without waiting for answers. */
  send(
    requestIds: readonly string[],
    path = '/look/x',
    key = 'k1',
    remainingMs = DEFAULT_REMAINING_MS,
  ): void {
    this.socket.write(
      requestIds
        .map(requestId =>
          formatRequestHead({
            method: 'GET',
            requestId,
            path,
            key,
            remainingMs,
          }),
        )
        .join(''),
    );
  }

  /** Sends the head of a POST request that announces a body of `bodyBytes`, without the body. */
  sendHead(requestId: string, path: string, bodyBytes: number): void {
    this.socket.write(
      formatRequestHead({
        method: 'POST',
        requestId,
        path,
        key: 'k1',
        remainingMs: DEFAULT_REMAINING_MS,
        extraHeaders: [`content-length: ${bodyBytes}`],
      }),
    );
  }

  /** Sends the head of a POST request with the given headers, together with what is given of its body. */
  sendHeadWith(
    requestId: string,
    path: string,
    key: string,
    extraHeaders: readonly string[],
    body = '',
  ): void {
    const head = formatRequestHead({
      method: 'POST',
      requestId,
      path,
      key,
      remainingMs: DEFAULT_REMAINING_MS,
      extraHeaders,
    });
    this.socket.write(head + body);
  }

  /** Sends a POST request with a body in chunks of one byte until the connection closes. */
  sendSmallChunks(requestId: string, path: string, key: string): void {
    this.sendHeadWith(requestId, path, key, ['transfer-encoding: chunked']);
    streams.writeUntilClosed(this.socket, SMALL_CHUNKS, () => {});
  }

  /** Sends bytes as they are. */
  write(bytes: string): void {
    this.socket.write(bytes);
  }

  /** Whether the connection has been closed. */
  get isClosed(): boolean {
    return this.socket.closed;
  }

  /** Wall-clock time in milliseconds at which the connection was closed; undefined while it is open. */
  get closedAtMs(): number | undefined {
    return this.closedAt;
  }

  /** Returns the HTTP statuses of the answers received so far. */
  getStatuses(): readonly number[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d{3}) /g)].map(match =>
      Number(match[1]),
    );
  }

  /** Returns the answers received so far, the last of them possibly in part. */
  getAnswers(): readonly answers.ReceivedAnswer[] {
    return this.reader.getAnswers();
  }

  /** Returns the identifiers of the requests to which complete answers of an upstream have been received so far. */
  getServedIds(): readonly string[] {
    return this.getAnswers()
      .filter(answer => answer.isComplete && answer.isFromUpstream)
      .map(answer => answer.requestId);
  }

  /** Whether any bytes have been received. */
  get hasReceived(): boolean {
    return this.received !== '';
  }

  /** Ends the connection with a FIN. */
  close(): void {
    this.socket.end();
  }

  /** Ends the connection with an RST. */
  reset(): void {
    sockets.resetSocket(this.socket);
  }

  /** Stops reading for as long as the link takes to transmit `byteCount` bytes. */
  private delayReading(byteCount: number): void {
    if (this.receivedBytesPerSecond === Infinity) return;
    this.socket.pause();
    setTimeout(
      () => this.socket.resume(),
      (byteCount / this.receivedBytesPerSecond) * MS_PER_SECOND,
    );
  }
}

interface RequestHead {
  readonly method: 'GET' | 'POST';
  readonly requestId: string;
  readonly path: string;
  readonly key: string;
  readonly remainingMs: number;
  readonly extraHeaders?: readonly string[];
}

function formatRequestHead({
  method,
  requestId,
  path,
  key,
  remainingMs,
  extraHeaders = [],
}: RequestHead): string {
  return [
    `${method} ${path} HTTP/1.1`,
    'host: a.example',
    `x-request-id: ${requestId}`,
    `x-affinity-key: ${requestId}`,
    `x-request-deadline: ${remainingMs}`,
    `authorization: Bearer ${key}`,
    ...extraHeaders,
    '\r\n',
  ].join('\r\n');
}
