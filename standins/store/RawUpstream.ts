import * as net from 'node:net';
import * as sockets from '../proxy/resetSocket.js';

const LOAD_REQUEST = 'GET /load ';

/** How an upstream closes a connection. */
export type CloseKind =
  /** Ends the connection in order. */
  | 'end'
  /** Ends the connection in order and closes it, so that the rest of a request is answered with a reset. */
  | 'close'
  | 'reset';

/** What an upstream does with a connection once it has sent an answer on it. */
export type ConnectionUse = CloseKind | 'keep';

/** Stand-in for an upstream that answers with given bytes, as soon as the first bytes of a request have arrived. */
export class RawUpstream {
  /** The bytes of each answer in Latin-1, complete or not. */
  answer = '';

  /** What happens to a connection once an answer has been sent on it. */
  connectionUse: ConnectionUse = 'end';

  /** How long a connection stays open behind an answer before it is closed, in milliseconds. */
  closeDelayMs = 0;

  /** Whether the rest of a request is read once the answer has been sent. */
  isReadingOn = true;

  /** The load report that answers `GET /load` in full; if it is empty, that is a request like any other. */
  loadReport = '';

  /** The number of answers sent so far, without load reports. */
  answerCount = 0;

  /** The number of connections accepted so far. */
  connectionCount = 0;

  private readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(socket => this.serve(socket));

  /** Starts listening on a free port; returns the address as host:port. */
  async open(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server.listen(0, '127.0.0.1', resolve),
    );
    const {port} = this.server.address() as net.AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Stops listening and closes all connections. */
  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private serve(socket: net.Socket): void {
    let isClosing = false;
    this.connectionCount += 1;
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    socket.on('error', () => socket.destroy());
    socket.on('data', bytes => {
      if (isClosing) return;
      const {loadReport, connectionUse} = this;
      if (loadReport !== '' && bytes.toString().startsWith(LOAD_REQUEST)) {
        socket.write(
          `HTTP/1.1 200 OK\r\ncontent-length: ${loadReport.length}\r\n\r\n${loadReport}`,
        );
        return;
      }
      this.answerCount += 1;
      if (!this.isReadingOn) socket.pause();
      if (connectionUse === 'keep') {
        socket.write(this.answer, 'latin1');
        return;
      }
      isClosing = true;
      // Waits until the bytes are sent, because a reset discards those that are still in the buffer.
      socket.write(this.answer, 'latin1', () => {
        if (this.closeDelayMs === 0) close(socket, connectionUse);
        else setTimeout(close, this.closeDelayMs, socket, connectionUse);
      });
    });
  }
}

function close(socket: net.Socket, kind: CloseKind): void {
  switch (kind) {
    case 'end':
      socket.end();
      return;
    case 'close':
      socket.end(() => socket.destroy());
      return;
    case 'reset':
      sockets.resetSocket(socket);
  }
}
