import type * as net from 'node:net';
import type * as faults from './ProxyFault.js';
import * as sockets from './resetSocket.js';

/** Which way bytes go. */
export type StreamDirection = 'request' | 'answer';

/** What comes from one side of a connection. */
export type StreamEvent =
  | {readonly kind: 'bytes'; readonly chunk: Buffer}
  | {readonly kind: 'end'}
  | {readonly kind: 'close'; readonly isReset: boolean};

interface PendingEvent {
  readonly event: StreamEvent;
  readonly dueAtMs: number;
}

/** What a stream asks of its connection. */
export interface ProxyStreamCallbacks {
  /** Gets the fault in force. */
  getFault(): faults.ProxyFault;
  /** Resets both sides of the connection. */
  reset(): void;
}

/**
 * One direction of a connection. Passes everything in order, as TCP does: once something was
 * dropped, nothing that comes after it passes, and no end either.
 */
export class ProxyStream {
  private readonly to: net.Socket;
  private readonly direction: StreamDirection;
  private readonly callbacks: ProxyStreamCallbacks;
  private readonly pending: PendingEvent[] = [];
  private timer: NodeJS.Timeout | undefined;
  private receivedBytes = 0;
  private hasLost = false;

  /** @param to The side that gets what comes. */
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

  /** Passes an event on, as the fault in force lets it. */
  pass(event: StreamEvent): void {
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
        this.hasLost = true;
        return;
      case 'dropRequests':
        this.enqueueOnly('answer', event);
        return;
      case 'dropAnswers':
        this.enqueueOnly('request', event);
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

  private enqueueOnly(direction: StreamDirection, event: StreamEvent): void {
    if (this.direction === direction) this.enqueue(event, 0);
    else this.hasLost = true;
  }

  private enqueue(event: StreamEvent, delayMs: number): void {
    if (this.hasLost) return;
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
        // Ends once the bytes are out, so that a reset never has to wait for a side that does not read.
        to.write('', () => {
          if (!to.destroyed) to.end();
        });
        return;
      case 'close':
        // A reset stays a reset: the end of a connection can mark the end of an answer.
        if (event.isReset) sockets.resetSocket(to);
        else to.write('', () => to.destroy());
        return;
    }
  }
}
