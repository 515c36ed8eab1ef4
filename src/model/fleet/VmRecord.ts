/** Where one daemon of ours is reached. */
export interface VmRecord {
  /** Names the VM. */
  readonly vmId: string;

  /** Names the process; a new one comes with each start. */
  readonly processId: string;

  /** The region it is located in. */
  readonly region: string;

  /** The failure domain it is located in. */
  readonly failureDomain: string;

  /** The callers' listener, as host:port. */
  readonly callersAddress: string;

  /** The peers' listener, as host:port. */
  readonly peersAddress: string;
}
