import type * as kernel from '../../kernel/index.js';
import type * as logs from '../logs/LogMessage.js';
import type * as eventNames from '../logs/EventName.js';
import type * as metrics from '../metrics/MetricsMessage.js';

/** What the parts of the dispatch service use of its task. */
export interface DispatchContext {
  /** Gets the monotonic time in milliseconds. */
  readonly nowMs: () => number;

  /** Gets the wall-clock time in milliseconds. */
  readonly wallMs: () => number;

  /** Gets the address of a service. @throws Error when no service has that name. */
  readonly getService: <N>(name: kernel.ServiceName<N>) => kernel.Address<N>;
  readonly log: (
    level: logs.LogMessage['level'],
    name: eventNames.EventName,
    fields: logs.LogMessage['fields'],
  ) => void;
  readonly count: (name: metrics.CounterName) => void;
  readonly observe: (name: metrics.HistogramName, valueMs: number) => void;

  /** Gets the number of VMs, including this one. */
  readonly getMemberCount: () => number;
}
