/**
 * Runs an action after a timeout, unless it is cancelled. Data that arrived before the timeout expired is read first:
 * otherwise an overloaded process would run the expired timer before it reads the data.
 */
export class ReadTimer {
  private readonly timer: NodeJS.Timeout;
  private isCancelled = false;

  /** @param termMs The timeout in milliseconds; 0 or less expires at once. */
  constructor(termMs: number, action: () => void) {
    this.timer = setTimeout(
      // An immediate runs after the poll phase that follows the timers.
      () =>
        setImmediate(() => {
          if (!this.isCancelled) action();
        }),
      Math.max(0, Math.ceil(termMs)),
    );
  }

  /** Prevents the action from running, even if the timeout has already expired. */
  cancel(): void {
    this.isCancelled = true;
    clearTimeout(this.timer);
  }
}
