import type * as fleet from '../../model/fleet/index.js';

/** The VMs that accept callers, indexed by process and by region; a new index is built when the fleet changes. */
export class VmIndex {
  private readonly all: readonly fleet.VmRecord[];
  private readonly byProcess = new Map<string, fleet.VmRecord>();
  private readonly byRegion = new Map<string, fleet.VmRecord[]>();

  /** @param vms The VMs, in an order that is the same on all VMs. */
  constructor(vms: readonly fleet.VmRecord[]) {
    this.all = vms;
    for (const vm of vms) {
      this.byProcess.set(vm.processId, vm);
      const inRegion = this.byRegion.get(vm.region);
      if (inRegion === undefined) this.byRegion.set(vm.region, [vm]);
      else inRegion.push(vm);
    }
  }

  /** Gets the VM on which a process runs, or `undefined` if there is none. */
  getByProcess(processId: string): fleet.VmRecord | undefined {
    return this.byProcess.get(processId);
  }

  /** Gets up to `limit` VMs of a region in cyclic order; `position`, at least 0 and below 1, selects the first. */
  getInRegion(
    region: string,
    position: number,
    limit: number,
  ): readonly fleet.VmRecord[] {
    return getCyclicSlice(this.byRegion.get(region) ?? [], position, limit);
  }

  /** Gets up to `limit` VMs of all regions in cyclic order; `position`, at least 0 and below 1, selects the first. */
  getAnywhere(position: number, limit: number): readonly fleet.VmRecord[] {
    return getCyclicSlice(this.all, position, limit);
  }
}

function getCyclicSlice(
  vms: readonly fleet.VmRecord[],
  position: number,
  limit: number,
): readonly fleet.VmRecord[] {
  const start = Math.floor(position * vms.length);
  const count = Math.min(limit, vms.length);
  return Array.from(
    {length: count},
    (_, step) => vms[(start + step) % vms.length],
  );
}
