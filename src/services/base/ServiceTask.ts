import * as kernel from '../../kernel/index.js';
import * as logs from '../logs/LogMessage.js';
import type * as eventNames from '../logs/EventName.js';
import * as metrics from '../metrics/MetricsMessage.js';

/** The base of services' tasks: a task with access to the clock, other services, the log and the metrics. */
export abstract class ServiceTask<M> extends kernel.Task<M> {
  /** Gets the monotonic time in milliseconds. */
  protected nowMs(): number {
    return this.getContext().clock.monotonicMs();
  }

  /** Gets the address of a service. @throws Error when no service has that name. */
  protected getService<N>(name: kernel.ServiceName<N>): kernel.Address<N> {
    return this.getContext().services.getOrThrow(name);
  }

  /** Logs an event. */
  protected log(
    level: logs.LogMessage['level'],
    name: eventNames.EventName,
    fields: logs.LogMessage['fields'],
  ): void {
    this.getService(logs.LOG).post({kind: 'event', level, name, fields});
  }

  /** Increments a counter of the metrics. */
  protected count(name: metrics.CounterName): void {
    this.getService(metrics.METRICS).post({kind: 'count', name});
  }

  /** Records a duration in milliseconds in a histogram of the metrics. */
  protected observe(name: metrics.HistogramName, valueMs: number): void {
    this.getService(metrics.METRICS).post({kind: 'observe', name, valueMs});
  }
}
