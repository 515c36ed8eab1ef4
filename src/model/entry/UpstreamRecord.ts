/** Whether an upstream takes new requests. */
export type UpstreamState = 'ready' | 'draining';

/** An upstream as it registered itself. */
export interface UpstreamRecord {
  readonly upstreamId: string;
  readonly serviceId: string;
  readonly host: string;
  readonly port: number;
  readonly region: string;
  readonly failureDomain: string;
  readonly slotCount: number;
  readonly state: UpstreamState;

  /** How long in milliseconds it stays cold from when the entry was written. */
  readonly coldForMs: number;

  /** Wall-clock time in milliseconds of its start; 0 when it did not say. */
  readonly startedAtMs: number;
}
