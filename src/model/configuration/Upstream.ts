/** Whether an upstream accepts new requests. */
export type UpstreamStatus = 'active' | 'draining';

/** A back end that handles requests. */
export interface Upstream {
  /** The service that the upstream belongs to. */
  readonly serviceId: string;

  /** The upstream's IP address. */
  readonly host: string;

  /** The upstream's TCP port. */
  readonly port: number;

  /** The region that the upstream is located in. */
  readonly region: string;

  /** The failure domain that the upstream is located in. */
  readonly failureDomain: string;

  /** The number of requests that the upstream handles concurrently. */
  readonly slotCount: number;

  /** Whether the upstream accepts new requests. */
  readonly status: UpstreamStatus;
}
