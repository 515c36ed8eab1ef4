import type * as net from 'node:net';
import * as undici from 'undici';

/** The code of a failed write after the other side has ended the connection in order; a reset has another one. */
const ENDED_CODE = 'EPIPE';

/**
 * Detects whether a connection is being reset. The undici client treats an answer without a length as complete when its
 * connection ends, even by a reset. This class listens on the socket before the client does, so that such an answer is
 * recognised as incomplete.
 */
export class ResetMonitor {
  private isHandlingReset = false;
  private readonly endErrors = new WeakSet<Error>();

  /** Whether the current callback results from a reset of a connection. */
  get isResetting(): boolean {
    return this.isHandlingReset;
  }

  /**
   * Whether a connection failed only because the other side, which had ended it in order, does not take the rest of a
   * request. What was received before is complete.
   */
  isOrderlyEnd(error: Error): boolean {
    return this.endErrors.has(error);
  }

  /**
   * Gets a connector whose connections are monitored for resets.
   *
   * @param timeoutMs How long opening a connection may take, in milliseconds.
   */
  getConnector(timeoutMs: number): undici.buildConnector.connector {
    const connect = undici.buildConnector({timeout: timeoutMs});
    return (options, callback) =>
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error === null) this.monitorSocket(socket);
        callback(...result);
      });
  }

  private monitorSocket(socket: net.Socket): void {
    let isEndHeld = false;
    holdEndOfUpload(socket, () => {
      isEndHeld = true;
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      const isAllRead = isEndHeld && socket.readableLength === 0;
      if (isAllRead && error.code === ENDED_CODE) this.endErrors.add(error);
      else this.recordReset();
    });
    socket.once('end', () => {
      if (isReset(socket)) this.recordReset();
    });
  }

  private recordReset(): void {
    this.isHandlingReset = true;
    queueMicrotask(() => {
      this.isHandlingReset = false;
    });
  }
}

/**
 * Holds the end of a connection back until the end of the event loop turn if bytes are still to be sent on it. libuv may
 * report an end where there is a reset, and `isReset` can't tell as its write waits behind those bytes. But libuv sends
 * queued bytes in the turn in which it reports the end, and that fails if the connection has been reset.
 *
 * @param onHeld Called when the end is held back.
 */
function holdEndOfUpload(socket: net.Socket, onHeld: () => void): void {
  const push = socket.push.bind(socket);
  // Node.js pushes null when a connection has ended.
  socket.push = (chunk: unknown, encoding) => {
    if (chunk !== null || socket.writableLength === 0)
      return push(chunk, encoding);
    onHeld();
    setImmediate(() => {
      if (!socket.destroyed) push(null);
    });
    return false;
  };
}

/**
 * Whether a connection that has just ended was reset. When the last bytes and the reset are read in one turn, libuv
 * reports an end. An empty write sends no data and fails with the error that is still pending on the socket.
 */
export function isReset(socket: net.Socket): boolean {
  if (socket.writableEnded || socket.destroyed) return false;
  socket.write('');
  return socket.errored !== null;
}
