import type * as addresses from './Address.js';

/** A queue of messages, which are handled one at a time in the order in which they were posted. */
export class Mailbox<M> implements addresses.Address<M> {
  private readonly handleMessage: (message: M) => void;
  private pending: M[] = [];
  private isScheduled = false;

  /** @param handleMessage Handles one message; must return without blocking. */
  constructor(handleMessage: (message: M) => void) {
    this.handleMessage = handleMessage;
  }

  /** Queues a message and returns immediately. */
  post(message: M): void {
    this.pending.push(message);
    if (this.isScheduled) return;
    this.isScheduled = true;
    queueMicrotask(() => this.drain());
  }

  /** Queues the message that `buildMessage` creates, and resolves with the answer passed to its `reply`. */
  ask<R>(buildMessage: (reply: addresses.Reply<R>) => M): Promise<R> {
    return new Promise(resolve => this.post(buildMessage(resolve)));
  }

  private drain(): void {
    const batch = this.pending;
    this.pending = [];
    this.isScheduled = false;
    for (const message of batch) this.handleMessage(message);
  }
}
