/**
 * Waits until the event loop has looked at every socket once more. A process that is behind finds a request and its
 * caller's close at the same time, and reads the request first.
 */
export class ReadBarrier {
  private next: Promise<void> | undefined;

  /** Resolves after the next round of reading; all who ask within one round share it. */
  wait(): Promise<void> {
    this.next ??= new Promise(resolve => {
      // The first immediate ends the round that is going on, the second one the round after it.
      setImmediate(() => {
        this.next = undefined;
        setImmediate(resolve);
      });
    });
    return this.next;
  }
}
