/** The number of buckets into which a window is divided; events leave the window one bucket at a time. */
const BUCKET_COUNT = 20;

/** Counts events within a sliding window. */
export class SlidingWindowCount {
  private readonly bucketMs: number;
  private readonly countsByBucket = new Map<number, number>();
  private total = 0;

  /** @param windowMs The window's length in milliseconds. */
  constructor(windowMs: number) {
    this.bucketMs = windowMs / BUCKET_COUNT;
  }

  /** Counts one event at the monotonic time `nowMs`. */
  add(nowMs: number): void {
    const bucketIndex = this.getBucketIndex(nowMs);
    this.countsByBucket.set(
      bucketIndex,
      (this.countsByBucket.get(bucketIndex) ?? 0) + 1,
    );
    this.total += 1;
  }

  /** Gets the number of events in the window, including the whole bucket that is just leaving it. */
  getTotal(nowMs: number): number {
    const oldestIndex = this.getBucketIndex(nowMs) - BUCKET_COUNT;
    for (const [bucketIndex, count] of this.countsByBucket) {
      if (bucketIndex >= oldestIndex) break;
      this.countsByBucket.delete(bucketIndex);
      this.total -= count;
    }
    return this.total;
  }

  /** Gets the number of events that leave the window within the next `termMs` milliseconds. */
  getLeavingCount(termMs: number, nowMs: number): number {
    const endIndex = this.getBucketIndex(nowMs + termMs) - BUCKET_COUNT;
    let leaving = 0;
    for (const [bucketIndex, count] of this.countsByBucket) {
      if (bucketIndex >= endIndex) break;
      leaving += count;
    }
    return leaving;
  }

  private getBucketIndex(nowMs: number): number {
    return Math.floor(nowMs / this.bucketMs);
  }
}
