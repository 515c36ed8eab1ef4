/** Answers one message; it is called at most once. */
export type Reply<R> = (answer: R) => void;

/** The sending side of a task's mailbox. */
export interface Address<M> {
  /** Queues a message; returns at once. */
  post(message: M): void;

  /** Queues the message that `build` makes and resolves with its answer. */
  ask<R>(build: (reply: Reply<R>) => M): Promise<R>;
}
