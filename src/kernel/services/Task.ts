import * as messages from '../messages/index.js';
import type * as time from '../time/index.js';
import type * as directories from './ServiceDirectory.js';

/** The dependencies that the kernel passes to a task when the task starts. */
export interface TaskContext {
  /** Looks up other services of the process. */
  readonly services: directories.ServiceDirectory;

  /** The process's clock. */
  readonly clock: time.Clock;

  /** The process's timers. */
  readonly timers: time.Timers;
}

/**
 * A unit of concurrency, which owns its sockets and its state and communicates by messages only.
 * When an asynchronous operation finishes, its result is posted to the task as a message.
 */
export abstract class Task<M> {
  private readonly mailbox = new messages.Mailbox<M>(message =>
    this.receive(message),
  );
  private context: TaskContext | undefined;
  private readonly timerCancellers: time.CancelTimer[] = [];

  /** Gets the address of the task's mailbox. */
  getAddress(): messages.Address<M> {
    return this.mailbox;
  }

  /** Starts the task; the kernel calls this once. */
  async start(context: TaskContext): Promise<void> {
    this.context = context;
    await this.onStart();
  }

  /** Stops the task; the kernel calls this once, after every service that depends on the task has stopped. */
  async stop(): Promise<void> {
    await this.onStop();
    for (const cancel of this.timerCancellers) cancel();
  }

  /** Posts a message to the task itself every `intervalMs` milliseconds until the task stops. */
  protected postEvery(intervalMs: number, message: M): void {
    const {timers} = this.getContext();
    this.timerCancellers.push(
      timers.every(intervalMs, () => this.mailbox.post(message)),
    );
  }

  /** Gets the context passed to `start`. @throws Error before the task has been started. */
  protected getContext(): TaskContext {
    if (this.context === undefined)
      throw new Error('the task has not been started');
    return this.context;
  }

  /** Opens the resources that the task owns. */
  protected async onStart(): Promise<void> {}

  /** Finishes pending work and closes the resources that the task owns. */
  protected async onStop(): Promise<void> {}

  /** Handles one message; must return without blocking. */
  protected abstract receive(message: M): void;
}
