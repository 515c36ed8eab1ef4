/** The identity, location and addresses of the daemon on one VM. */
export interface VmRecord {
  /** Identifies the VM. */
  readonly vmId: string;

  /** Identifies the process; every start generates a new identifier. */
  readonly processId: string;

  /** The region that the VM is located in. */
  readonly region: string;

  /** The failure domain that the VM is located in. */
  readonly failureDomain: string;

  /** The address of the listener for callers, as host:port. */
  readonly callersAddress: string;

  /** The address of the listener for peers, as host:port. */
  readonly peersAddress: string;
}
