import type * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as fleet from '../../model/fleet/index.js';

/** A live holder of a slot. */
export interface LiveHolder extends decisions.HomeCandidate {
  readonly peersAddress: string;

  /** Whether it is stopping: it still lends its share and is home to nobody. */
  readonly isStopping: boolean;
}

/** The fleet as this process sees it. */
export interface FleetView {
  readonly self: fleet.VmRecord;

  readonly map: fleet.FleetMap;

  /** VMs that answer and take callers, this one among them. */
  readonly servingVms: readonly fleet.VmRecord[];

  /** Holders of slots that answer, this one among them. */
  readonly liveHolders: readonly LiveHolder[];

  /** Processes that are certainly gone. */
  readonly deadProcessIds: readonly string[];

  /** The slots whose shares are this process's to use or lend. */
  readonly controlledSlots: readonly decisions.ControlledSlot[];

  /** Monotonic time in milliseconds until which what is known here may be used. */
  readonly freshUntilMs: number;

  /** The same moment on the wall clock, which also runs while the VM is suspended. */
  readonly freshUntilWallMs: number;
}

/** Whether what is known here may be used now. */
export function isFresh(
  view: FleetView | undefined,
  clock: kernel.Clock,
): boolean {
  return (
    view !== undefined &&
    clock.monotonicMs() < view.freshUntilMs &&
    clock.wallMs() < view.freshUntilWallMs
  );
}
