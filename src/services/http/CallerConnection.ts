import type * as http from 'node:http';
import type * as net from 'node:net';

/** The requests of a caller's connection at the time that the caller disconnected. */
export interface CallerDisconnect {
  /** The number of unanswered requests. */
  readonly unansweredCount: number;

  /** The number of requests that had been answered. */
  readonly answeredCount: number;
}

/** A caller's connection. When the caller disconnects, all unanswered requests on the connection are aborted. */
export class CallerConnection {
  private readonly getNowMs: () => number;
  private readonly onDisconnect: (disconnect: CallerDisconnect) => void;
  private readonly unanswered = new Set<AbortController>();
  private readonly unsent = new Map<http.ServerResponse, () => void>();
  private disconnectedAt: number | undefined;
  private answeredCount = 0;
  private lastRequest: AbortController | undefined;
  private isClosing = false;

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param onDisconnect Called when the caller disconnects while requests are unanswered.
   */
  constructor(
    socket: net.Socket,
    getNowMs: () => number,
    onDisconnect: (disconnect: CallerDisconnect) => void,
  ) {
    this.getNowMs = getNowMs;
    this.onDisconnect = onDisconnect;
    const handleDisconnect = () => this.handleDisconnect();
    // Listens on the socket because a response that is queued behind another has no socket and emits no close event.
    socket.once('end', handleDisconnect);
    socket.once('close', () => {
      this.handleDisconnect();
      for (const onUnsent of this.unsent.values()) onUnsent();
      this.unsent.clear();
    });
  }

  /** Monotonic time in milliseconds at which the caller disconnected; undefined while it is connected. */
  get disconnectedAtMs(): number | undefined {
    return this.disconnectedAt;
  }

  /**
   * Adds a received request. Returns a controller that is aborted when the caller disconnects, and at once for a request
   * behind an answer that closes the connection: its answer could not be sent.
   */
  addRequest(): AbortController {
    const controller = new AbortController();
    if (this.disconnectedAt !== undefined || this.isClosing) {
      controller.abort();
      return controller;
    }
    this.unanswered.add(controller);
    this.lastRequest = controller;
    return controller;
  }

  /**
   * Whether no request was received behind this one. The answers of later requests may be complete already and wait
   * for the answer to this one; closing the connection after it would drop them.
   */
  isLastRequest(controller: AbortController): boolean {
    return this.lastRequest === controller;
  }

  /** Records that the answer to the last request closes the connection. */
  setClosing(): void {
    this.isClosing = true;
  }

  /** Marks a request as answered. */
  endRequest(controller: AbortController): void {
    if (this.unanswered.delete(controller)) this.answeredCount += 1;
  }

  /**
   * Adds an answer that is about to be written.
   *
   * @param onUnsent Called when the connection closes before all of the answer was sent.
   */
  addAnswer(response: http.ServerResponse, onUnsent: () => void): void {
    this.unsent.set(response, onUnsent);
    response.once('finish', () => this.unsent.delete(response));
  }

  private handleDisconnect(): void {
    if (this.disconnectedAt !== undefined) return;
    this.disconnectedAt = this.getNowMs();
    if (this.unanswered.size === 0) return;
    const {answeredCount} = this;
    this.onDisconnect({unansweredCount: this.unanswered.size, answeredCount});
    for (const controller of this.unanswered) controller.abort();
    this.unanswered.clear();
  }
}
