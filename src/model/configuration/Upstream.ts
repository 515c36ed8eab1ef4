/** Whether an upstream takes new work. */
export type UpstreamStatus = 'active' | 'draining';

/** A back end that runs requests. */
export interface Upstream {
  /** The service it belongs to. */
  readonly serviceId: string;

  /** Its IP address. */
  readonly host: string;

  /** Its TCP port. */
  readonly port: number;

  /** The region it is located in. */
  readonly region: string;

  /** The failure domain it is located in. */
  readonly failureDomain: string;

  /** Requests that it runs at the same time. */
  readonly slotCount: number;

  /** Whether it takes new work. */
  readonly status: UpstreamStatus;
}
