import type * as fleet from '../../model/fleet/index.js';

/** The VMs that take callers, found by process and by region; made once for each change of the fleet. */
export class VmIndex {
  private readonly all: readonly fleet.VmRecord[];
  private readonly byProcess = new Map<string, fleet.VmRecord>();
  private readonly byRegion = new Map<string, fleet.VmRecord[]>();

  /** @param vms The VMs, in an order on which all agree. */
  constructor(vms: readonly fleet.VmRecord[]) {
    this.all = vms;
    for (const vm of vms) {
      this.byProcess.set(vm.processId, vm);
      const inRegion = this.byRegion.get(vm.region);
      if (inRegion === undefined) this.byRegion.set(vm.region, [vm]);
      else inRegion.push(vm);
    }
  }

  /** Gets the VM of a process, or nothing. */
  getByProcess(processId: string): fleet.VmRecord | undefined {
    return this.byProcess.get(processId);
  }

  /** Gets up to `limit` VMs of a region, beginning at a position from 0 up to 1. */
  getInRegion(
    region: string,
    position: number,
    limit: number,
  ): readonly fleet.VmRecord[] {
    return getRotated(this.byRegion.get(region) ?? [], position, limit);
  }

  /** Gets up to `limit` VMs anywhere, beginning at a position from 0 up to 1. */
  getAnywhere(position: number, limit: number): readonly fleet.VmRecord[] {
    return getRotated(this.all, position, limit);
  }
}

function getRotated(
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
