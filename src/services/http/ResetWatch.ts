import type * as net from 'node:net';
import * as undici from 'undici';

/**
 * Knows whether a connection is just being reset. The client takes an answer without a length for complete
 * when its connection ends, a reset included; this listens before the client does, so that such an answer is known.
 */
export class ResetWatch {
  private isWithinReset = false;

  /** Whether what happens now is the consequence of a reset. */
  get isResetting(): boolean {
    return this.isWithinReset;
  }

  /**
   * Gets what opens connections that are watched.
   *
   * @param timeoutMs How long a new connection may take, in milliseconds.
   */
  getConnector(timeoutMs: number): undici.buildConnector.connector {
    const connect = undici.buildConnector({timeout: timeoutMs});
    return (options, callback) =>
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error === null) this.watch(socket);
        callback(...result);
      });
  }

  private watch(socket: net.Socket): void {
    socket.on('error', () => this.noteReset());
    socket.once('end', () => {
      if (isReset(socket)) this.noteReset();
    });
  }

  private noteReset(): void {
    this.isWithinReset = true;
    queueMicrotask(() => {
      this.isWithinReset = false;
    });
  }
}

/**
 * Tells whether a connection that has just ended was reset. When the last bytes and the reset are read in one turn,
 * libuv reports an end; a write without bytes sends nothing and meets the error that is still pending.
 */
export function isReset(socket: net.Socket): boolean {
  if (socket.writableEnded || socket.destroyed) return false;
  socket.write('');
  return socket.errored !== null;
}
