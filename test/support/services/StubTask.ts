import * as kernel from '../../../src/kernel/index.js';

/** Replaces a service in a test; handles its messages with a function. */
export class StubTask<M> extends kernel.Task<M> {
  private readonly handle: (message: M) => void;

  /** @param handle Handles each message; by default messages are ignored. */
  constructor(handle: (message: M) => void = () => {}) {
    super();
    this.handle = handle;
  }

  protected override receive(message: M): void {
    this.handle(message);
  }
}
