import type * as fleet from '../../model/fleet/index.js';
import type * as indexes from './VmIndex.js';

/** How long in milliseconds callers may cache a steering answer. */
export const STEERING_ANSWER_TTL_MS = 3000;

/** The maximum number of VMs in a steering answer. */
export const MAX_CHOICES = 8;

/** The input that determines the order of the VMs in a steering answer. */
export interface SteeringQuery {
  /** The VMs that this process considers alive and not stopping. */
  readonly vms: indexes.VmIndex;

  /** The region that serves the caller. */
  readonly region: string;

  /** The process that collects the limit shares of the caller's organisation, or an empty string if there is none. */
  readonly homeProcessId: string;

  /** The caller's position, at least 0 and below 1, which spreads callers over VMs of equal rank. */
  readonly position: number;
}

/** One VM of a steering answer and the reason for its rank. */
export interface SteeringChoice {
  readonly vmId: string;
  readonly callersAddress: string;
  readonly region: string;
  readonly reason: 'organisationHome' | 'callerRegion' | 'otherRegion';
}

/** The answer to a caller: the VMs in the order in which the caller tries them. */
export interface SteeringAnswer {
  readonly choices: readonly SteeringChoice[];

  /** Wall-clock time in milliseconds until which the caller may cache the answer. */
  readonly expiresAtMs: number;
}

/** Decides which VMs a caller uses from the wall-clock time `nowMs`, in milliseconds, until the answer expires. */
export function decideSteering(
  query: SteeringQuery,
  nowMs: number,
): SteeringAnswer {
  const {vms, region, homeProcessId, position} = query;
  const homeVm = vms.getByProcess(homeProcessId);
  const choices = new Map<string, SteeringChoice>();
  const addChoice = (vm: fleet.VmRecord, reason: SteeringChoice['reason']) => {
    if (choices.size < MAX_CHOICES && !choices.has(vm.processId))
      choices.set(vm.processId, createChoice(vm, reason));
  };
  if (homeVm !== undefined) addChoice(homeVm, 'organisationHome');
  for (const vm of vms.getInRegion(region, position, MAX_CHOICES))
    addChoice(vm, 'callerRegion');
  if (homeVm !== undefined)
    for (const vm of vms.getInRegion(homeVm.region, position, MAX_CHOICES))
      addChoice(vm, 'otherRegion');
  for (const vm of vms.getAnywhere(position, 2 * MAX_CHOICES))
    addChoice(vm, 'otherRegion');
  return {
    choices: [...choices.values()],
    expiresAtMs: nowMs + STEERING_ANSWER_TTL_MS,
  };
}

function createChoice(
  vm: fleet.VmRecord,
  reason: SteeringChoice['reason'],
): SteeringChoice {
  const {vmId, callersAddress, region} = vm;
  return {vmId, callersAddress, region, reason};
}
