/** A request as the stand-in ran it; it is printed when the run starts and when it ends. */
export interface Run {
  readonly run: 'started' | 'finished' | 'cancelled';
  readonly upstreamId: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly organisationId: string;
  readonly target: string;
  readonly atMs: number;
  /** All that came in, so that tests can look for what must not be there. */
  readonly seen: string;
}
