/** A source of time. Decision functions receive times as arguments and never read a clock themselves. */
export interface Clock {
  /** Returns the monotonic time in milliseconds; used for leases, loans and timeouts. */
  monotonicMs(): number;

  /** Returns the time since the Unix epoch in milliseconds; used for times that processes exchange. */
  wallMs(): number;
}
