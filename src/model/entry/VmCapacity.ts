/** The resources that the platform grants to an entry VM. */
export interface VmCapacity {
  /** Processors that the VM may use: its cores times the share of each; 0.5 is half of one core. */
  readonly processorCount: number;

  /** The bandwidth of the VM's link, in Mbit/s. */
  readonly linkMbps: number;

  readonly memoryMb: number;
}

/** A VM's resources and its measured load, as it reports them to its peers. */
export interface MemberCapacity extends VmCapacity {
  /** Whether the VM has used most of its processor time for a while. */
  readonly isBusy: boolean;
}

/** What a VM reports of its resources; `processId` tells reports of earlier processes of the VM apart. */
export interface CapacityReport {
  readonly vmId: string;
  readonly processId: string;
  readonly capacity: MemberCapacity;
}
