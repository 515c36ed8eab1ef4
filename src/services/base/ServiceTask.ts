import * as kernel from '../../kernel/index.js';
import * as logs from '../logs/LogMessage.js';
import type * as events from '../logs/EventName.js';
import * as metrics from '../metrics/MetricsMessage.js';

/** A task that logs and counts what it does. */
export abstract class ServiceTask<M> extends kernel.Task<M> {
  /** Gets the monotonic time in milliseconds. */
  protected nowMs(): number {
    return this.getContext().clock.monotonicMs();
  }

  /** Gets the address of a service. @throws Error when none has that name. */
  protected getService<N>(name: kernel.ServiceName<N>): kernel.Address<N> {
    return this.getContext().services.getOrThrow(name);
  }

  /** Logs an event. */
  protected log(
    level: logs.LogMessage['level'],
    name: events.EventName,
    fields: logs.LogMessage['fields'],
  ): void {
    this.getService(logs.LOG).post({kind: 'event', level, name, fields});
  }

  /** Counts something that happened. */
  protected count(name: metrics.CounterName): void {
    this.getService(metrics.METRICS).post({kind: 'count', name});
  }

  /** Notes how long in milliseconds something took. */
  protected observe(name: metrics.HistogramName, valueMs: number): void {
    this.getService(metrics.METRICS).post({kind: 'observe', name, valueMs});
  }
}
