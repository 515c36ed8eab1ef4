/** Whether an upstream accepts new requests. */
export type UpstreamState = 'ready' | 'draining';

/** The row with which an upstream registered itself in the platform's table. */
export interface UpstreamRecord {
  readonly upstreamId: string;
  readonly serviceId: string;
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly slotCount: number;
  readonly state: UpstreamState;

  /** How long in milliseconds the upstream still counts as cold, from the time at which the row was written. */
  readonly coldForMs: number;

  /** Wall-clock time of the upstream's start, in milliseconds since the Unix epoch; 0 when the row has none. */
  readonly startedAtMs: number;
}
