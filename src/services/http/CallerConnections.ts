import type * as net from 'node:net';
import * as connections from './CallerConnection.js';

/** The connections of a listener's callers. */
export class CallerConnections {
  private readonly getNowMs: () => number;
  private readonly onLeft: (departure: connections.CallerDeparture) => void;
  private readonly bySocket = new WeakMap<
    net.Socket,
    connections.CallerConnection
  >();

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param onLeft Hears that a caller left while requests of it were unanswered.
   */
  constructor(
    getNowMs: () => number,
    onLeft: (departure: connections.CallerDeparture) => void,
  ) {
    this.getNowMs = getNowMs;
    this.onLeft = onLeft;
  }

  /** Gets the connection of a socket. */
  get(socket: net.Socket): connections.CallerConnection {
    const known = this.bySocket.get(socket);
    if (known !== undefined) return known;
    const connection = new connections.CallerConnection(
      socket,
      this.getNowMs,
      this.onLeft,
    );
    this.bySocket.set(socket, connection);
    return connection;
  }
}
