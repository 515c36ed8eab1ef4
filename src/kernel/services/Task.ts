import * as messages from '../messages/index.js';
import type * as time from '../time/index.js';
import type * as directories from './ServiceDirectory.js';

/** What the kernel hands to a task when it starts. */
export interface TaskContext {
  /** Finds other services. */
  readonly services: directories.ServiceDirectory;

  /** The process's clock. */
  readonly clock: time.Clock;

  /** The process's timers. */
  readonly timers: time.Timers;
}

/**
 * A unit of concurrency: it owns its sockets and its state, and is reached by messages only.
 * Input and output that finishes later comes back to the task as a message of its own.
 */
export abstract class Task<M> {
  private readonly mailbox = new messages.Mailbox<M>(message =>
    this.receive(message),
  );
  private contextOrNone: TaskContext | undefined;
  private readonly cancels: time.CancelTimer[] = [];

  /** Gets the address to which the task's messages go. */
  getAddress(): messages.Address<M> {
    return this.mailbox;
  }

  /** Starts the task; called once, by the kernel. */
  async start(context: TaskContext): Promise<void> {
    this.contextOrNone = context;
    await this.onStart();
  }

  /** Stops the task; called once, by the kernel, after all that depends on it has stopped. */
  async stop(): Promise<void> {
    await this.onStop();
    for (const cancel of this.cancels) cancel();
  }

  /** Posts a message to the task itself every `intervalMs` milliseconds until it stops. */
  protected postEvery(intervalMs: number, message: M): void {
    const {timers} = this.getContext();
    this.cancels.push(
      timers.every(intervalMs, () => this.mailbox.post(message)),
    );
  }

  /** Gets the context. @throws Error before the start. */
  protected getContext(): TaskContext {
    if (this.contextOrNone === undefined)
      throw new Error('the task has not been started');
    return this.contextOrNone;
  }

  /** Opens what the task owns. */
  protected async onStart(): Promise<void> {}

  /** Finishes work under way and closes what the task owns. */
  protected async onStop(): Promise<void> {}

  /** Handles one message without waiting. */
  protected abstract receive(message: M): void;
}
