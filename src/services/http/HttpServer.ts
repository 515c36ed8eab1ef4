import * as http from 'node:http';
import type * as net from 'node:net';
import type * as memories from './AnswerMemory.js';
import * as responses from './CountedResponse.js';
import * as rest from './endBeforeBody.js';
import * as connections from './ServerConnection.js';

const HTTP_BAD_REQUEST = 400;
const HTTP_EXPECTATION_FAILED = 417;

type RequestListener = http.RequestListener<
  typeof http.IncomingMessage,
  typeof responses.CountedResponse
>;

/** An HTTP server that loses no answer when it closes its connections, and bounds what it holds for them. */
export class HttpServer extends http.Server<
  typeof http.IncomingMessage,
  typeof responses.CountedResponse
> {
  private readonly memory: memories.AnswerMemory;
  private readonly connectionsBySocket = new Map<
    net.Socket,
    connections.ServerConnection
  >();

  /**
   * @param handler Answers each request, and decides whether to ask for the body of one that waits for that.
   * @param memory Bounds what is held for all connections of the process.
   */
  constructor(handler: http.RequestListener, memory: memories.AnswerMemory) {
    // Node.js answers requests without a host by itself, and such answers would not be counted.
    super({
      ServerResponse: responses.CountedResponse,
      requireHostHeader: false,
    });
    this.memory = memory;
    this.on('connection', socket => this.addConnection(socket));
    const handleRequest: RequestListener = (request, response) => {
      this.addRequest(request, response);
      if (request.httpVersion === '1.1' && request.headers.host === undefined)
        this.rejectWithoutHost(request, response);
      else handler(request, response);
    };
    this.on('request', handleRequest);
    this.on('checkContinue', handleRequest);
    this.on('checkExpectation', (request, response) => {
      this.addRequest(request, response);
      response.writeHead(HTTP_EXPECTATION_FAILED).end();
    });
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

  /** Answers a request of HTTP/1.1 that names no host, as the protocol demands. */
  private rejectWithoutHost(
    request: http.IncomingMessage,
    response: responses.CountedResponse,
  ): void {
    this.connectionsBySocket.get(request.socket)?.setLastRequestParsed();
    response.writeHead(HTTP_BAD_REQUEST, ['connection', 'close']).end();
  }

  private addRequest(
    request: http.IncomingMessage,
    response: responses.CountedResponse,
  ): void {
    const connection = this.connectionsBySocket.get(request.socket);
    connection?.addRequest(request, response);
    response.once('finish', () => {
      connection?.removeRequest(response);
      // Nobody needs the rest of a body after the answer, and parsing it would take processor time from others.
      if (rest.hasLongRest(request))
        rest.discardRest(request, () => request.socket.destroy());
    });
  }

  private addConnection(socket: net.Socket): void {
    const connection = new connections.ServerConnection(socket, this.memory);
    this.connectionsBySocket.set(socket, connection);
    socket.once('close', () => {
      this.connectionsBySocket.delete(socket);
      connection.release();
    });
  }
}
