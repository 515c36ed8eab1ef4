import type * as http from 'node:http';
import type * as entry from '../../model/entry/index.js';
import * as httpService from '../http/index.js';

/** The reason with which requests are aborted that are cut off. */
const CUT_OFF = Symbol('cutOff');

/** One caller's request together with the HTTP response that answers it. */
export class CallerExchange {
  private readonly connection: httpService.CallerConnection;
  private readonly response: http.ServerResponse;
  private readonly controller: AbortController;
  private readonly onUnsent: () => void;

  /**
   * @param response The HTTP response that the answer is written to.
   * @param onUnsent Called when the connection closes after the answer was written but before all of it was sent.
   */
  constructor(
    connection: httpService.CallerConnection,
    response: http.ServerResponse,
    onUnsent: () => void,
  ) {
    this.connection = connection;
    this.response = response;
    this.controller = connection.addRequest();
    this.onUnsent = onUnsent;
  }

  /** Aborted when the caller disconnects before its answer is written, and when the request is cut off. */
  get abandoned(): AbortSignal {
    return this.controller.signal;
  }

  /** Monotonic time in milliseconds at which the caller disconnected; undefined while it is connected. */
  get disconnectedAtMs(): number | undefined {
    return this.connection.disconnectedAtMs;
  }

  /** Whether the request was cut off because the process stops. */
  get isCutOff(): boolean {
    return this.controller.signal.reason === CUT_OFF;
  }

  /** Aborts the request, which may still be answered with a failure. */
  cutOff(): void {
    this.controller.abort(CUT_OFF);
  }

  /** Whether no request was received behind this one on the same connection. */
  get isLastRequest(): boolean {
    return this.connection.isLastRequest(this.controller);
  }

  /**
   * Writes an answer with its length.
   *
   * @param shouldClose Whether to close the connection after the answer, unless requests were received behind this one.
   *     The connection is always closed after an answer to a request whose body may have a long rest.
   */
  send(
    httpStatus: number,
    headers: readonly string[],
    body: Uint8Array,
    shouldClose: boolean,
  ): void {
    const {response} = this;
    const {isLastRequest} = this;
    if (!this.endRequest()) return;
    const answerHeaders = [...headers, 'content-length', String(body.length)];
    const hasLongRest = httpService.hasLongRest(response.req);
    if ((shouldClose && isLastRequest) || hasLongRest) {
      this.connection.setClosing();
      answerHeaders.push('connection', 'close');
    }
    response.writeHead(httpStatus, answerHeaders);
    if (hasLongRest) httpService.endBeforeBody(response, body);
    else response.end(body);
  }

  /** Writes an answer without a length: closing the connection marks its end. */
  sendCloseDelimited({httpStatus, headers, body}: entry.EntryAnswer): void {
    const {response} = this;
    if (!this.endRequest()) return;
    this.connection.setClosing();
    response.removeHeader('transfer-encoding');
    response.writeHead(httpStatus, [...headers, 'connection', 'close']);
    response.end(body);
  }

  /** Marks the request as answered. Returns whether an answer can still be written. */
  private endRequest(): boolean {
    this.connection.endRequest(this.controller);
    if (this.response.destroyed || this.response.headersSent) return false;
    this.connection.addAnswer(this.response, this.onUnsent);
    return true;
  }
}
