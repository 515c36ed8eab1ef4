import type * as http from 'node:http';
import type * as net from 'node:net';

/**
 * How long a connection is still read from after everything has been sent on it. Closing it while bytes of the caller
 * are unread would reset it, and a reset discards what the caller has not read yet.
 */
const LINGER_MS = 2000;

/** A connection of a server, which is closed without losing an answer. */
export class ServerConnection {
  private readonly socket: net.Socket;
  private unsentAnswerCount = 0;
  private closesWhenIdle = false;
  private isLingering = false;

  /** @param socket The socket of the connection, which the HTTP server has begun to read. */
  constructor(socket: net.Socket) {
    this.socket = socket;
    // The HTTP server calls this method to close a connection after the answer that announces it.
    socket.destroySoon = () => this.linger();
  }

  /** The number of bytes that were written to the connection and have not been sent. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** Adds a request; the connection is not idle until all of the answer has been sent. */
  addRequest(response: http.ServerResponse): void {
    this.unsentAnswerCount += 1;
    response.once('finish', () => this.removeRequest());
  }

  /** Closes the connection once the answers to all requests that have been received are sent. */
  closeWhenIdle(): void {
    this.closesWhenIdle = true;
    if (this.unsentAnswerCount === 0) this.linger();
  }

  private removeRequest(): void {
    this.unsentAnswerCount -= 1;
    // The HTTP server takes up the next answer, or closes the connection, in the same event.
    setImmediate(() => {
      if (this.closesWhenIdle && this.unsentAnswerCount === 0) this.linger();
    });
  }

  /** Sends what was written and the end of the stream, then discards what arrives until the caller closes as well. */
  private linger(): void {
    const {socket} = this;
    if (this.isLingering || socket.destroyed) return;
    this.isLingering = true;
    // Takes the connection's bytes away from the HTTP parser.
    socket.removeAllListeners('data');
    socket.on('data', () => {});
    socket.resume();
    socket.setTimeout(0);
    socket.end(() => {
      const timer = setTimeout(() => socket.destroy(), LINGER_MS);
      socket.once('close', () => clearTimeout(timer));
    });
  }
}
