/**
 * Waits until the event loop has polled every socket once more. An overloaded process receives a request and the close
 * of the caller's connection at the same time and reads the request first; after waiting it knows of the close.
 */
export class ReadBarrier {
  private pending: Promise<void> | undefined;

  /** Resolves after the next complete poll phase. Calls within one turn of the event loop share a promise. */
  wait(): Promise<void> {
    this.pending ??= new Promise(resolve => {
      // The first immediate runs after the current poll phase, the second one after the next.
      setImmediate(() => {
        this.pending = undefined;
        setImmediate(resolve);
      });
    });
    return this.pending;
  }
}
