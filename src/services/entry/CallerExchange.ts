import type * as http from 'node:http';
import type * as entry from '../../model/entry/index.js';
import type * as httpService from '../http/index.js';

/** One request of a caller, and the way back. */
export class CallerExchange {
  private readonly connection: httpService.CallerConnection;
  private readonly response: http.ServerResponse;
  private readonly controller: AbortController;

  /** @param response What the answer is written to. */
  constructor(
    connection: httpService.CallerConnection,
    response: http.ServerResponse,
  ) {
    this.connection = connection;
    this.response = response;
    this.controller = connection.addRequest();
  }

  /** Fires when the caller leaves before its answer is written. */
  get abandoned(): AbortSignal {
    return this.controller.signal;
  }

  /** Monotonic time in milliseconds at which the caller was seen to leave, or nothing while it is there. */
  get leftAtMs(): number | undefined {
    return this.connection.leftAtMs;
  }

  /** How many other requests of the same connection are unanswered. */
  get otherCount(): number {
    return this.connection.unansweredCount - 1;
  }

  /** Writes an answer of a known length; one that `isFinal` closes the connection unless others wait on it. */
  send(
    httpStatus: number,
    headers: readonly string[],
    body: Uint8Array,
    isFinal: boolean,
  ): void {
    const {response} = this;
    const isLast = this.otherCount === 0;
    if (!this.end()) return;
    const written = [...headers, 'content-length', String(body.length)];
    // What is left of a body would be taken for the next request.
    const isUnread = !response.req.complete;
    // A close would drop the requests that came behind this one, so the last of them brings it.
    if ((isFinal && isLast) || isUnread) written.push('connection', 'close');
    else response.removeHeader('connection');
    response.writeHead(httpStatus, written);
    response.end(body);
  }

  /** Writes an answer whose end is the end of the connection. */
  sendUnframed({httpStatus, headers, body}: entry.EntryAnswer): void {
    const {response} = this;
    if (!this.end()) return;
    response.removeHeader('transfer-encoding');
    response.writeHead(httpStatus, [...headers, 'connection', 'close']);
    response.end(body);
  }

  /** Notes the end of the request; tells whether an answer can still be written. */
  private end(): boolean {
    this.connection.endRequest(this.controller);
    return !this.response.destroyed && !this.response.headersSent;
  }
}
