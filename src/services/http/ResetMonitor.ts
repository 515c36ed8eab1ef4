import type * as net from 'node:net';
import * as undici from 'undici';

/**
 * Detects whether a connection is being reset. The undici client treats an answer without a length as complete when its
 * connection ends, even by a reset. This class listens on the socket before the client does, so that such an answer is
 * recognised as incomplete.
 */
export class ResetMonitor {
  private isHandlingReset = false;

  /** Whether the current callback results from a reset of a connection. */
  get isResetting(): boolean {
    return this.isHandlingReset;
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
    socket.on('error', () => this.recordReset());
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
 * Whether a connection that has just ended was reset. When the last bytes and the reset are read in one turn, libuv
 * reports an end. An empty write sends no data and fails with the error that is still pending on the socket.
 */
export function isReset(socket: net.Socket): boolean {
  if (socket.writableEnded || socket.destroyed) return false;
  socket.write('');
  return socket.errored !== null;
}
