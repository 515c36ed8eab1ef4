import * as hdr from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** What a load came to. */
export interface LoadResult {
  readonly perSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Runs an action again and again from several workers, and measures it. */
export class LoadMeter {
  private readonly histogram = hdr.build({numberOfSignificantValueDigits: 3});
  private readonly workerCount: number;

  /** @param workerCount How many actions are under way at the same time. */
  constructor(workerCount: number) {
    this.workerCount = workerCount;
  }

  /** Runs for a while and gets what it came to. */
  async run(
    durationMs: number,
    action: (worker: number) => Promise<void>,
  ): Promise<LoadResult> {
    const startedAtMs = performance.now();
    const endMs = startedAtMs + durationMs;
    const workers = Array.from({length: this.workerCount}, (_, worker) =>
      this.work(endMs, () => action(worker)),
    );
    await Promise.all(workers);
    const elapsedMs = performance.now() - startedAtMs;
    const {totalCount} = this.histogram;
    return {
      perSecond: (totalCount / elapsedMs) * MS_PER_SECOND,
      p50Ms: this.getMs(50),
      p99Ms: this.getMs(99),
    };
  }

  private async work(
    endMs: number,
    action: () => Promise<void>,
  ): Promise<void> {
    while (performance.now() < endMs) {
      const startedAtMs = performance.now();
      await action();
      const elapsedMs = performance.now() - startedAtMs;
      this.histogram.recordValue(Math.round(elapsedMs * MICROSECONDS_PER_MS));
    }
  }

  private getMs(percentile: number): number {
    return (
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
    );
  }
}
