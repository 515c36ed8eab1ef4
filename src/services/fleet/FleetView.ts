import type * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as fleet from '../../model/fleet/index.js';

/** A process that holds a slot and answers heartbeats. */
export interface LiveHolder extends decisions.HomeCandidate {
  readonly peersAddress: string;

  /** Whether the process is stopping: it still lends its share of the limits, but is the home of no organisation. */
  readonly isStopping: boolean;
}

/** The state of the fleet as known to this process. */
export interface FleetView {
  /** The record of this process. */
  readonly self: fleet.VmRecord;

  /** The newest fleet map that this process has received. */
  readonly map: fleet.FleetMap;

  /** VMs that answer heartbeats and accept requests from callers; includes this VM unless it is stopping. */
  readonly servingVms: readonly fleet.VmRecord[];

  /** Slot holders that answer heartbeats; includes this process if it holds a slot. */
  readonly liveHolders: readonly LiveHolder[];

  /** Processes that have certainly terminated. */
  readonly deadProcessIds: readonly string[];

  /** The slots whose shares of the limits this process may use or lend. */
  readonly controlledSlots: readonly decisions.ControlledSlot[];

  /** Monotonic time in milliseconds until which the configuration and the fleet map of this process may be used. */
  readonly freshUntilMs: number;

  /**
   * `freshUntilMs` as wall-clock time in milliseconds. It is checked as well because the wall clock, unlike the
   * monotonic clock, also advances while the VM is suspended.
   */
  readonly freshUntilWallMs: number;
}

/** Whether the configuration and the fleet map of this process are fresh enough to be used now. */
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
