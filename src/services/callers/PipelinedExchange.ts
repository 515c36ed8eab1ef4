import type * as http from 'node:http';
import type * as httpService from '../http/index.js';

/** One request of a caller's connection, on which others may have been received behind it. */
export class PipelinedExchange {
  private readonly connection: httpService.CallerConnection;
  private readonly response: http.ServerResponse;
  private readonly controller: AbortController;

  /** @param response The HTTP response that the answer is written to. */
  constructor(
    connection: httpService.CallerConnection,
    response: http.ServerResponse,
  ) {
    this.connection = connection;
    this.response = response;
    this.controller = connection.addRequest();
  }

  /** Aborted when the caller disconnects before the request ends. */
  get abandoned(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Decides before the head of the answer is written whether the answer closes the connection.
   *
   * @param shouldClose Whether to close the connection after the answer, unless requests were received behind this one.
   */
  beginAnswer(shouldClose: boolean): void {
    const {response} = this;
    if (!shouldClose || response.headersSent) return;
    if (!this.connection.isLastRequest(this.controller)) return;
    this.connection.setClosing();
    response.setHeader('connection', 'close');
  }

  /** Marks the request as answered. */
  end(): void {
    this.connection.endRequest(this.controller);
  }
}
