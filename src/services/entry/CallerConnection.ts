import type * as net from 'node:net';

/** What is known of one caller's connection. */
export class CallerConnection {
  private readonly getNowMs: () => number;
  private readonly onLeft: (unansweredCount: number) => void;
  private unanswered = 0;
  private leftAt: number | undefined;

  /**
   * @param getNowMs Gets the monotonic time in milliseconds.
   * @param onLeft Hears that the caller left, and how many of its requests were unanswered.
   */
  constructor(
    socket: net.Socket,
    getNowMs: () => number,
    onLeft: (unansweredCount: number) => void,
  ) {
    this.getNowMs = getNowMs;
    this.onLeft = onLeft;
    const leave = () => this.leave();
    socket.once('end', leave);
    socket.once('close', leave);
  }

  /** How many requests of the connection are unanswered. */
  get unansweredCount(): number {
    return this.unanswered;
  }

  /** Monotonic time in milliseconds at which the caller was seen to leave, or nothing while it is there. */
  get leftAtMs(): number | undefined {
    return this.leftAt;
  }

  /** Notes a request that came in. */
  addRequest(): void {
    this.unanswered += 1;
  }

  /** Notes that a request is answered. */
  endRequest(): void {
    this.unanswered -= 1;
  }

  private leave(): void {
    if (this.leftAt !== undefined) return;
    this.leftAt = this.getNowMs();
    if (this.unanswered > 0) this.onLeft(this.unanswered);
  }
}
