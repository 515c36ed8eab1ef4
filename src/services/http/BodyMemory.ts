/**
 * The most bytes of bodies that one process holds in one direction, from callers or from upstreams: the smallest VM
 * has 350 MB, of which the process itself takes less than half.
 */
export const MAX_HELD_BYTES = 64 * 1024 * 1024;

/** A body that takes memory. */
export interface HeldBody {
  /** The memory in bytes that the body takes. */
  readonly heldBytes: number;

  /** Stops receiving the body and frees its memory. */
  drop(): void;
}

/**
 * Bounds the memory that bodies take, whatever is sent. When they take too much, the largest of those that are being
 * received is dropped, so that a few bodies without end do not cost other requests theirs.
 */
export class BodyMemory {
  private readonly receiving = new Map<HeldBody, number>();
  private readonly complete = new Map<HeldBody, number>();
  private totalBytes = 0;

  /** Counts what a body takes while it is being received; may drop that body or another one. */
  update(body: HeldBody): void {
    const {heldBytes} = body;
    this.totalBytes += heldBytes - (this.receiving.get(body) ?? 0);
    this.receiving.set(body, heldBytes);
    if (this.totalBytes > MAX_HELD_BYTES) this.dropLargest();
  }

  /** Records that a body has been received; it is counted until it is removed, but no longer dropped. */
  setComplete(body: HeldBody): void {
    const heldBytes = this.receiving.get(body);
    if (heldBytes === undefined) return;
    this.receiving.delete(body);
    this.complete.set(body, heldBytes);
  }

  /** Forgets a body that is no longer held. */
  remove(body: HeldBody): void {
    this.totalBytes -= this.receiving.get(body) ?? this.complete.get(body) ?? 0;
    this.receiving.delete(body);
    this.complete.delete(body);
  }

  private dropLargest(): void {
    let largest: HeldBody | undefined;
    let largestBytes = 0;
    for (const [body, bytes] of this.receiving)
      if (bytes > largestBytes) [largest, largestBytes] = [body, bytes];
    largest?.drop();
  }
}
