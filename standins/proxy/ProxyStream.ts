import type * as net from 'node:net';
import type * as faults from './ProxyFault.js';
import * as sockets from './resetSocket.js';

/** The direction of the bytes: `request` from the caller to the target, `answer` back. */
export type StreamDirection = 'request' | 'answer';

/** Bytes received from one side of a connection, its end or its close. */
export type StreamEvent =
  | {readonly kind: 'bytes'; readonly chunk: Buffer}
  | {readonly kind: 'end'}
  | {readonly kind: 'close'; readonly isReset: boolean};

interface PendingEvent {
  readonly event: StreamEvent;
  readonly dueAtMs: number;
}

/** The functions of a proxied connection that its streams call. */
export interface ProxyStreamCallbacks {
  /** Gets the current fault of the connection. */
  getFault(): faults.ProxyFault;
  /** Resets both sides of the connection. */
  reset(): void;
}

/**
 * Forwards one direction of a connection. Keeps the order, as TCP does: once bytes or an end were dropped, no later
 * bytes are forwarded, and no end or close either.
 */
export class ProxyStream {
  private readonly to: net.Socket;
  private readonly direction: StreamDirection;
  private readonly callbacks: ProxyStreamCallbacks;
  private readonly pending: PendingEvent[] = [];
  private timer: NodeJS.Timeout | undefined;
  private receivedBytes = 0;
  private hasDropped = false;

  /** @param to The socket that events are forwarded to. */
  constructor(
    to: net.Socket,
    direction: StreamDirection,
    callbacks: ProxyStreamCallbacks,
  ) {
    this.to = to;
    this.direction = direction;
    this.callbacks = callbacks;
    to.once('close', () => clearTimeout(this.timer));
  }

  /** Forwards, delays or drops an event, or resets the connection, as the current fault says. */
  forward(event: StreamEvent): void {
    if (event.kind === 'bytes') this.receivedBytes += event.chunk.length;
    const fault = this.callbacks.getFault();
    switch (fault.kind) {
      case 'none':
        this.enqueue(event, 0);
        return;
      case 'delay':
        this.enqueue(event, fault.delayMs);
        return;
      case 'cut':
        this.callbacks.reset();
        return;
      case 'freeze':
        this.hasDropped = true;
        return;
      case 'dropRequests':
        this.enqueueIfDirection('answer', event);
        return;
      case 'dropAnswers':
        this.enqueueIfDirection('request', event);
        return;
      case 'truncate':
        if (
          this.direction === 'request' ||
          this.receivedBytes <= fault.afterBytes
        )
          this.enqueue(event, 0);
        else this.callbacks.reset();
        return;
    }
  }

  private enqueueIfDirection(
    direction: StreamDirection,
    event: StreamEvent,
  ): void {
    if (this.direction === direction) this.enqueue(event, 0);
    else this.hasDropped = true;
  }

  private enqueue(event: StreamEvent, delayMs: number): void {
    if (this.hasDropped) return;
    const dueAtMs = Math.max(
      performance.now() + delayMs,
      this.pending.at(-1)?.dueAtMs ?? 0,
    );
    this.pending.push({event, dueAtMs});
    if (this.timer === undefined) this.deliverDue();
  }

  private deliverDue(): void {
    this.timer = undefined;
    for (;;) {
      const next = this.pending.at(0);
      if (next === undefined || this.to.destroyed) return;
      const waitMs = next.dueAtMs - performance.now();
      if (waitMs > 0) {
        this.timer = setTimeout(() => this.deliverDue(), Math.ceil(waitMs));
        return;
      }
      this.pending.shift();
      this.deliver(next.event);
    }
  }

  private deliver(event: StreamEvent): void {
    const {to} = this;
    switch (event.kind) {
      case 'bytes':
        to.write(event.chunk);
        return;
      case 'end':
        // Ends the socket only after its bytes have been sent, so that a later reset never waits for a peer that
        // doesn't read.
        to.write('', () => {
          if (!to.destroyed) to.end();
        });
        return;
      case 'close':
        // A reset is forwarded as a reset, not as an end: the end of a connection can mark the end of an answer.
        if (event.isReset) sockets.resetSocket(to);
        else to.write('', () => to.destroy());
        return;
    }
  }
}
