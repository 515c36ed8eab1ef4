import type * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from './ReadTimer.js';

/**
 * How long a connection is still read from after the system has taken everything that was written to it. Closing it while
 * bytes of the caller are unread would reset it, and a reset discards what has not reached the caller yet.
 */
const LINGER_MS = 3000;

/** How long nothing may have arrived on a connection that counts as idle: a request may have been read in part. */
const QUIET_MS = 200;

/** A connection of a server, which is closed without losing an answer. */
export class ServerConnection {
  private readonly socket: net.Socket;
  private unsentAnswerCount = 0;
  private isClosing = false;
  private isLingering = false;

  /** @param socket The socket of the connection, which the HTTP server has begun to read. */
  constructor(socket: net.Socket) {
    this.socket = socket;
    // The HTTP server calls this method to close a connection after the answer that announces it.
    socket.destroySoon = () => this.linger();
  }

  /** The number of bytes that were written to the connection and that the system has not taken yet. */
  get unsentBytes(): number {
    return this.socket.writableLength;
  }

  /** Adds a request; the connection is not idle until all of the answer has been sent. */
  addRequest(response: http.ServerResponse): void {
    this.unsentAnswerCount += 1;
    response.once('finish', () => {
      this.unsentAnswerCount -= 1;
    });
  }

  /** Closes the connection once no request is arriving and the answers to all that have arrived are sent. */
  closeWhenIdle(): void {
    if (this.isClosing) return;
    this.isClosing = true;
    this.lingerWhenIdle();
  }

  private lingerWhenIdle(): void {
    const {socket} = this;
    const {bytesRead} = socket;
    new timers.ReadTimer(QUIET_MS, () => {
      if (socket.destroyed) return;
      const isQuiet = socket.bytesRead === bytesRead;
      if (isQuiet && this.unsentAnswerCount === 0) this.linger();
      else this.lingerWhenIdle();
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
