/** Sends the answer to one message; must be called at most once. */
export type Reply<R> = (answer: R) => void;

/** The sending side of a task's mailbox. */
export interface Address<M> {
  /** Queues a message and returns immediately. */
  post(message: M): void;

  /** Queues the message that `buildMessage` creates, and resolves with the answer passed to its `reply`. */
  ask<R>(buildMessage: (reply: Reply<R>) => M): Promise<R>;
}
