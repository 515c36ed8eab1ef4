import type * as http from 'node:http';
import type * as hdr from 'hdr-histogram-js';
import * as builders from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type * as settings from '../../codecs/settings/index.js';
import * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as httpService from '../http/index.js';
import type * as messages from './MetricsMessage.js';

const METRICS_PATH = '/metrics';
const CONTENT_TYPE = 'text/plain; version=0.0.4';

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

const PERCENTILES: readonly number[] = [50, 90, 99, 99.9];
const PERCENT = 100;

/** How long a stop waits for queries in progress; it is part of what the callers' listener leaves of a stop. */
const CLOSE_TIMEOUT_MS = 50;

const MICROSECONDS_PER_MS = 1000;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** Collects counters and histograms and serves them in the Prometheus text format on the metrics listener. */
export class MetricsTask extends kernel.Task<messages.MetricsMessage> {
  private readonly listener: httpService.HttpListener;
  private readonly counters = new Map<string, number>();
  private readonly histograms = new Map<string, hdr.Histogram>();

  /**
   * @param address The address of the metrics listener.
   * @param memory Bounds what the listeners of the process hold.
   */
  constructor(
    address: settings.ListenAddress,
    memory?: httpService.AnswerMemory,
  ) {
    super();
    this.listener = new httpService.HttpListener(
      address,
      (request, response) => this.answer(request, response),
      memory,
    );
  }

  /** Gets the listener's address as host:port. */
  getListenerAddress(): string {
    return this.listener.getAddress();
  }

  protected override async onStart(): Promise<void> {
    await this.listener.open();
  }

  protected override async onStop(): Promise<void> {
    await this.listener.closeWithin(CLOSE_TIMEOUT_MS);
  }

  protected override receive(message: messages.MetricsMessage): void {
    switch (message.kind) {
      case 'count':
        this.counters.set(
          message.name,
          (this.counters.get(message.name) ?? 0) + 1,
        );
        return;
      case 'observe':
        this.getHistogram(message.name).recordValue(
          Math.max(0, Math.round(message.valueMs * MICROSECONDS_PER_MS)),
        );
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private answer(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): void {
    const [path] = httpService.getRequestTarget(request).split('?');
    if (request.method === 'GET' && path === METRICS_PATH)
      httpService.writeAnswer(response, HTTP_OK, this.getText(), CONTENT_TYPE);
    else httpService.writeAnswer(response, HTTP_NOT_FOUND);
  }

  private getHistogram(name: string): hdr.Histogram {
    const existing = this.histograms.get(name);
    if (existing !== undefined) return existing;
    const histogram = builders.build({numberOfSignificantValueDigits: 3});
    this.histograms.set(name, histogram);
    return histogram;
  }

  private getText(): string {
    const lines: string[] = [];
    for (const [name, count] of this.counters) {
      lines.push(`# TYPE bramleyrun_${name}_total counter`);
      lines.push(`bramleyrun_${name}_total ${count}`);
    }
    for (const [name, histogram] of this.histograms)
      lines.push(...getSummaryLines(name, histogram));
    const memory = process.memoryUsage();
    const cpu = process.cpuUsage();
    const cpuSeconds = (cpu.user + cpu.system) / MICROSECONDS_PER_SECOND;
    lines.push('# TYPE process_resident_memory_bytes gauge');
    lines.push(`process_resident_memory_bytes ${memory.rss}`);
    lines.push('# TYPE process_cpu_seconds_total counter');
    lines.push(`process_cpu_seconds_total ${cpuSeconds}`);
    return lines.join('\n') + '\n';
  }
}

function getSummaryLines(
  name: string,
  histogram: hdr.Histogram,
): readonly string[] {
  const metric = `bramleyrun_${name}`;
  const quantiles = PERCENTILES.map(percentile => {
    const valueMs =
      histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
    return `${metric}{quantile="${percentile / PERCENT}"} ${valueMs}`;
  });
  return [
    `# TYPE ${metric} summary`,
    ...quantiles,
    `${metric}_count ${histogram.totalCount}`,
  ];
}
