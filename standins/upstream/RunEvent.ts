/** A line of JSON that the stand-in upstream prints when a request starts, finishes or is cancelled. */
export interface RunEvent {
  readonly run: 'started' | 'finished' | 'cancelled';
  readonly upstreamId: string;
  readonly requestId: string;
  readonly idempotencyKey: string;
  readonly organisationId: string;
  readonly target: string;
  readonly atMs: number;
  /** The raw headers, target and body as received, so that tests can check what must not reach an upstream. */
  readonly seen: string;
}
