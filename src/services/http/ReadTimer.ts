/**
 * Runs an action once a term is over, unless it is cancelled. What came within the term is read first: a process that
 * is behind runs its timers before it reads.
 */
export class ReadTimer {
  private readonly timer: NodeJS.Timeout;
  private isCancelled = false;

  /** @param termMs The term in milliseconds; one that is not positive is over at once. */
  constructor(termMs: number, action: () => void) {
    this.timer = setTimeout(
      // An immediate comes after the round of reading that follows the timers.
      () =>
        setImmediate(() => {
          if (!this.isCancelled) action();
        }),
      Math.max(0, Math.ceil(termMs)),
    );
  }

  /** Keeps the action from running, also when the term is over already. */
  cancel(): void {
    this.isCancelled = true;
    clearTimeout(this.timer);
  }
}
