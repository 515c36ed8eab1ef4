import * as kernel from '../../kernel/index.js';

/** The names of all counters of a daemon. */
export type CounterName =
  | 'requests_answered'
  | 'requests_refused'
  | 'requests_refused_rate'
  | 'requests_refused_load'
  | 'requests_borrowed'
  | 'requests_failed'
  | 'upstream_retries'
  | 'upstream_breaks'
  | 'requests_quarantined'
  | 'steering_answers'
  | 'tokens_taken_remotely'
  | 'claims_made'
  | 'claims_replayed'
  | 'peer_calls'
  | 'peer_calls_failed'
  | 'platform_calls'
  | 'platform_calls_failed'
  | 'store_returns'
  | 'answers_of_ended_timelines'
  | 'answers_of_doubtful_timelines'
  | 'datagrams_failed'
  | 'rows_announced'
  | 'rows_adopted'
  | 'rows_read_directly'
  | 'reads_passed_over'
  | 'rows_replaced'
  | 'bundles_sent'
  | 'connections_opened'
  | 'answers_discarded'
  | 'answers_undelivered'
  | 'answers_unsent'
  | 'callers_left'
  | 'connections_accepted'
  | 'connections_closed_unread'
  | 'requests_abandoned'
  | 'placements_first'
  | 'placements_other'
  | 'requests_waited'
  | 'requests_crowded'
  | 'placement_writes';

/** The names of all histograms of a daemon; their values are in milliseconds. */
export type HistogramName =
  | 'request_ms'
  | 'upstream_ms'
  | 'admission_ms'
  | 'claim_ms'
  | 'platform_ms'
  /** Time for which a request was still processed after its caller had disconnected. */
  | 'after_departure_ms'
  /** Delay between the due time of a timer and its callback. */
  | 'loop_delay_ms'
  | 'accept_wait_ms'
  /** Time for which a request waited until an upstream accepted it or it was refused. */
  | 'placement_wait_ms'
  /** Age of the last successful read of the operators' rows at the time of the next one. */
  | 'knowledge_gap_ms'
  /** Age of the last read of the upstreams' rows at the time of the next one. */
  | 'upstream_rows_gap_ms';

/** The messages that the metrics service accepts. */
export type MetricsMessage =
  /** Increments a counter by one. */
  | {readonly kind: 'count'; readonly name: CounterName}
  /** Records a value in a histogram. */
  | {
      readonly kind: 'observe';
      readonly name: HistogramName;
      readonly valueMs: number;
    };

/** The service that collects metrics. */
export const METRICS = kernel.createServiceName<MetricsMessage>('metrics');
