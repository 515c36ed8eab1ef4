import type * as starts from './UpstreamStart.js';

/** Whether an upstream accepts new requests. */
export type UpstreamState = 'ready' | 'draining';

/** The row with which an upstream registered itself in the platform's table. */
export interface UpstreamRecord extends starts.UpstreamStart {
  readonly serviceId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly slotCount: number;
  readonly state: UpstreamState;

  /** Increases with each write of the row by this start of the upstream; 0 when it is unknown. */
  readonly revision: number;

  /** How long in milliseconds the upstream still counts as cold, from the time at which the row was written. */
  readonly coldForMs: number;
}
