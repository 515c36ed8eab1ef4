/** A source of time. Decisions get its readings as arguments and never hold one. */
export interface Clock {
  /** Monotonic time in milliseconds; it counts leases, loans and timeouts. */
  monotonicMs(): number;

  /** Time since the Unix epoch in milliseconds; it counts what processes share. */
  wallMs(): number;
}
