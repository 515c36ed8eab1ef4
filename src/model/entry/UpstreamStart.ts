/** One start of an upstream: a restarted upstream, or one at another address, is another start. */
export interface UpstreamStart {
  readonly upstreamId: string;
  readonly host: string;
  readonly port: number;

  /** Wall-clock time of the start, in milliseconds since the Unix epoch; 0 when it is unknown. */
  readonly startedAtMs: number;
}
