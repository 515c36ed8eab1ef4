/**
 * Bounds an amount that bodies take together, whatever is sent. When they take too much, the body that takes most of
 * those that are being received is dropped, so that a few bodies without end do not cost other requests theirs.
 */
export class SharedLimit<B> {
  private readonly maxAmount: number;
  private readonly maxSoleAmount: number;
  private readonly drop: (body: B) => void;
  private readonly receiving = new Map<B, number>();
  private readonly complete = new Map<B, number>();
  private totalAmount = 0;

  /**
   * @param maxAmount The most that all bodies may take together.
   * @param drop Stops receiving a body; it must remove the body from this limit.
   * @param maxSoleAmount The most that a body may take while there is no other one.
   */
  constructor(
    maxAmount: number,
    drop: (body: B) => void,
    maxSoleAmount = maxAmount,
  ) {
    this.maxAmount = maxAmount;
    this.maxSoleAmount = maxSoleAmount;
    this.drop = drop;
  }

  /** Sets what a body takes while it is being received; may drop that body or another one. */
  update(body: B, amount: number): void {
    const before = this.receiving.get(body) ?? 0;
    if (amount === before) return;
    this.totalAmount += amount - before;
    this.receiving.set(body, amount);
    const isSole = this.receiving.size + this.complete.size === 1;
    const maxAmount = isSole ? this.maxSoleAmount : this.maxAmount;
    if (this.totalAmount > maxAmount) this.dropLargest();
  }

  /** Records that a body has been received; it counts until it is removed, but is no longer dropped. */
  setComplete(body: B): void {
    const amount = this.receiving.get(body);
    if (amount === undefined) return;
    this.receiving.delete(body);
    this.complete.set(body, amount);
  }

  /** Forgets a body. */
  remove(body: B): void {
    this.totalAmount -=
      this.receiving.get(body) ?? this.complete.get(body) ?? 0;
    this.receiving.delete(body);
    this.complete.delete(body);
  }

  private dropLargest(): void {
    let largest: B | undefined;
    let largestAmount = 0;
    for (const [body, amount] of this.receiving)
      if (amount > largestAmount) [largest, largestAmount] = [body, amount];
    if (largest !== undefined) this.drop(largest);
  }
}
