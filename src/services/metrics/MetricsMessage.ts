import * as kernel from '../../kernel/index.js';

/** Every counter of a daemon. */
export type CounterName =
  | 'requests_answered'
  | 'requests_refused'
  | 'requests_refused_rate'
  | 'requests_refused_load'
  | 'requests_borrowed'
  | 'requests_failed'
  | 'upstream_retries'
  | 'upstream_breaks'
  | 'steering_answers'
  | 'tokens_taken_remotely'
  | 'claims_made'
  | 'claims_replayed'
  | 'peer_calls'
  | 'peer_calls_failed'
  | 'platform_calls'
  | 'platform_calls_failed'
  | 'datagrams_failed'
  | 'connections_opened'
  | 'answers_discarded'
  | 'answers_undelivered'
  | 'callers_left'
  | 'connections_accepted'
  | 'requests_abandoned'
  | 'placements_first'
  | 'placements_other';

/** Every histogram of a daemon; values are milliseconds. */
export type HistogramName =
  | 'request_ms'
  | 'upstream_ms'
  | 'admission_ms'
  | 'claim_ms'
  | 'platform_ms'
  /** How long work went on for a caller that had left. */
  | 'after_departure_ms'
  /** How late timers fire. */
  | 'loop_delay_ms'
  | 'accept_wait_ms'
  /** The age of the last reading of the operators' rows when the next one comes. */
  | 'knowledge_gap_ms';

/** What the metrics service takes. */
export type MetricsMessage =
  | {readonly kind: 'count'; readonly name: CounterName}
  | {
      readonly kind: 'observe';
      readonly name: HistogramName;
      readonly valueMs: number;
    };

/** The metrics service. */
export const METRICS = kernel.getServiceName<MetricsMessage>('metrics');
