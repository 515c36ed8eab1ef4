import type * as net from 'node:net';

/** What a caller left behind. */
export interface CallerDeparture {
  /** Its requests that were unanswered. */
  readonly unansweredCount: number;

  /** Its requests on the connection that had been answered. */
  readonly answeredCount: number;
}

/** One caller's connection: it ends the work on all its unanswered requests when the caller leaves. */
export class CallerConnection {
  private readonly getNowMs: () => number;
  private readonly onLeft: (departure: CallerDeparture) => void;
  private readonly unanswered = new Set<AbortController>();
  private leftAt: number | undefined;
  private answeredCount = 0;

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param onLeft Hears that the caller left while requests of it were unanswered.
   */
  constructor(
    socket: net.Socket,
    getNowMs: () => number,
    onLeft: (departure: CallerDeparture) => void,
  ) {
    this.getNowMs = getNowMs;
    this.onLeft = onLeft;
    const leave = () => this.leave();
    // The connection tells for all its requests: a response behind another one has no socket, and no close.
    socket.once('end', leave);
    socket.once('close', leave);
  }

  /** How many requests of the connection are unanswered. */
  get unansweredCount(): number {
    return this.unanswered.size;
  }

  /** Monotonic time in milliseconds at which the caller was seen to leave, or nothing while it is there. */
  get leftAtMs(): number | undefined {
    return this.leftAt;
  }

  /** Notes a request that came in; what it gives is aborted when the caller leaves. */
  addRequest(): AbortController {
    const controller = new AbortController();
    if (this.leftAt === undefined) this.unanswered.add(controller);
    else controller.abort();
    return controller;
  }

  /** Notes that a request is answered. */
  endRequest(controller: AbortController): void {
    if (this.unanswered.delete(controller)) this.answeredCount += 1;
  }

  private leave(): void {
    if (this.leftAt !== undefined) return;
    this.leftAt = this.getNowMs();
    if (this.unanswered.size === 0) return;
    const {answeredCount} = this;
    this.onLeft({unansweredCount: this.unanswered.size, answeredCount});
    for (const controller of this.unanswered) controller.abort();
    this.unanswered.clear();
  }
}
