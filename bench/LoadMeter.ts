import * as hdr from 'hdr-histogram-js';

const MICROSECONDS_PER_MS = 1000;
const MS_PER_SECOND = 1000;

/** Throughput and latency of a load; actions are counted per second. */
export interface LoadResult {
  readonly actionsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Measures an action that several concurrent workers repeat. */
export class LoadMeter {
  private readonly histogram = hdr.build({numberOfSignificantValueDigits: 3});
  private readonly workerCount: number;

  /** @param workerCount The number of workers, each with one action in progress at a time. */
  constructor(workerCount: number) {
    this.workerCount = workerCount;
  }

  /** Runs the load for a duration in milliseconds and returns its throughput and latency. */
  async run(
    durationMs: number,
    action: (workerIndex: number) => Promise<void>,
  ): Promise<LoadResult> {
    const startedAtMs = performance.now();
    const endMs = startedAtMs + durationMs;
    const workers = Array.from({length: this.workerCount}, (_, workerIndex) =>
      this.runWorker(endMs, () => action(workerIndex)),
    );
    await Promise.all(workers);
    const elapsedMs = performance.now() - startedAtMs;
    const {totalCount} = this.histogram;
    return {
      actionsPerSecond: (totalCount / elapsedMs) * MS_PER_SECOND,
      p50Ms: this.getPercentileMs(50),
      p99Ms: this.getPercentileMs(99),
    };
  }

  private async runWorker(
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

  private getPercentileMs(percentile: number): number {
    return (
      this.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
    );
  }
}
