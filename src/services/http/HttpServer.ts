import * as http from 'node:http';
import type * as net from 'node:net';
import * as connections from './ServerConnection.js';

/** An HTTP server that loses no answer when it closes its connections. */
export class HttpServer extends http.Server {
  private readonly connectionsBySocket = new Map<
    net.Socket,
    connections.ServerConnection
  >();

  /** @param handler Answers each request, and decides whether to ask for the body of one that waits for that. */
  constructor(handler: http.RequestListener) {
    super();
    this.on('connection', socket => this.addConnection(socket));
    const handleRequest: http.RequestListener = (request, response) => {
      this.connectionsBySocket.get(request.socket)?.addRequest(response);
      handler(request, response);
    };
    this.on('request', handleRequest);
    this.on('checkContinue', handleRequest);
  }

  /** Gets the open connections. */
  getOpenConnections(): readonly connections.ServerConnection[] {
    return [...this.connectionsBySocket.values()];
  }

  /**
   * Closes each connection as soon as no request is arriving on it and all answers have been sent. Node.js also takes a
   * connection for idle while the last answer written to it is being sent and others wait behind it.
   */
  override closeIdleConnections(): void {
    for (const connection of this.connectionsBySocket.values())
      connection.closeWhenIdle();
  }

  private addConnection(socket: net.Socket): void {
    this.connectionsBySocket.set(
      socket,
      new connections.ServerConnection(socket),
    );
    socket.once('close', () => this.connectionsBySocket.delete(socket));
  }
}
