import * as net from 'node:net';
import * as sockets from '../../standins/proxy/resetSocket.js';

/** A caller that writes its requests itself: several on one connection before the first is answered. */
export class RawCaller {
  private readonly socket: net.Socket;
  private received = '';

  private constructor(socket: net.Socket) {
    this.socket = socket;
    // What the far end does to the connection is part of the tests.
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      this.received += chunk.toString('latin1');
    });
  }

  /** Connects to a VM's callers' listener. @throws Error when it refuses. */
  static async connect(host: string, port: number): Promise<RawCaller> {
    const socket = net.connect(port, host);
    await new Promise<void>((resolve, reject) => {
      socket.once('connect', resolve);
      socket.once('error', reject);
    });
    return new RawCaller(socket);
  }

  /** Sends one GET request for each identifier, without waiting for answers. */
  send(requestIds: readonly string[], path = '/look/x', key = 'k1'): void {
    this.socket.write(
      requestIds
        .map(requestId => getHead('GET', requestId, path, key))
        .join(''),
    );
  }

  /** Sends the head of a POST request that promises a body of a length. */
  sendHead(requestId: string, path: string, bodyBytes: number): void {
    this.socket.write(
      getHead('POST', requestId, path, 'k1', `content-length: ${bodyBytes}`),
    );
  }

  /** Gets the statuses that were answered so far. */
  getStatuses(): readonly number[] {
    return [...this.received.matchAll(/^HTTP\/1\.1 (\d{3})/gm)].map(match =>
      Number(match[1]),
    );
  }

  /** Closes the connection in good order. */
  leave(): void {
    this.socket.end();
  }

  /** Resets the connection. */
  reset(): void {
    sockets.resetSocket(this.socket);
  }
}

function getHead(
  method: 'GET' | 'POST',
  requestId: string,
  path: string,
  key: string,
  ...more: readonly string[]
): string {
  return [
    `${method} ${path} HTTP/1.1`,
    'host: a.example',
    `x-request-id: ${requestId}`,
    `x-affinity-key: ${requestId}`,
    'x-request-deadline: 3000',
    `authorization: Bearer ${key}`,
    ...more,
    '\r\n',
  ].join('\r\n');
}
