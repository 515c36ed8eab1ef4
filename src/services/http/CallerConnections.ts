import type * as net from 'node:net';
import * as connections from './CallerConnection.js';

/** The connections of a listener's callers. */
export class CallerConnections {
  private readonly getNowMs: () => number;
  private readonly onDisconnect: (
    disconnect: connections.CallerDisconnect,
  ) => void;
  private readonly bySocket = new WeakMap<
    net.Socket,
    connections.CallerConnection
  >();

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param onDisconnect Called when a caller disconnects while requests of its connection are unanswered.
   */
  constructor(
    getNowMs: () => number,
    onDisconnect: (disconnect: connections.CallerDisconnect) => void,
  ) {
    this.getNowMs = getNowMs;
    this.onDisconnect = onDisconnect;
  }

  /** Gets the connection of a socket; creates it at the first call. */
  get(socket: net.Socket): connections.CallerConnection {
    const existing = this.bySocket.get(socket);
    if (existing !== undefined) return existing;
    const connection = new connections.CallerConnection(
      socket,
      this.getNowMs,
      this.onDisconnect,
    );
    this.bySocket.set(socket, connection);
    return connection;
  }
}
