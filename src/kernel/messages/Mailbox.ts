import type * as addresses from './Address.js';

/** A queue of messages, handled one at a time in the order they came. */
export class Mailbox<M> implements addresses.Address<M> {
  private readonly receive: (message: M) => void;
  private pending: M[] = [];
  private isScheduled = false;

  /** @param receive Handles one message; it must return without waiting. */
  constructor(receive: (message: M) => void) {
    this.receive = receive;
  }

  /** Queues a message; returns at once. */
  post(message: M): void {
    this.pending.push(message);
    if (this.isScheduled) return;
    this.isScheduled = true;
    queueMicrotask(() => this.drain());
  }

  /** Queues the message that `build` makes and resolves with its answer. */
  ask<R>(build: (reply: addresses.Reply<R>) => M): Promise<R> {
    return new Promise(resolve => this.post(build(resolve)));
  }

  private drain(): void {
    const batch = this.pending;
    this.pending = [];
    this.isScheduled = false;
    for (const message of batch) this.receive(message);
  }
}
