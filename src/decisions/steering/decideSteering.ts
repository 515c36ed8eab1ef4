import type * as fleet from '../../model/fleet/index.js';
import type * as indexes from './VmIndex.js';

/** How long in milliseconds callers may keep an answer. */
export const STEERING_TERM_MS = 3000;

/** The most VMs that an answer names. */
export const MAX_CHOICES = 8;

/** What the order of the VMs depends on. */
export interface SteeringQuestion {
  /** VMs that are alive and not stopping, as seen from here. */
  readonly vms: indexes.VmIndex;

  /** The region that serves the caller. */
  readonly region: string;

  /** The process that gathers the shares of the caller's organisation, or an empty string. */
  readonly homeProcessId: string;

  /** Spreads callers over VMs of equal rank; from 0 up to 1. */
  readonly position: number;
}

/** One VM of an answer and the reason for its rank. */
export interface SteeringChoice {
  readonly vmId: string;
  readonly callersAddress: string;
  readonly region: string;
  readonly reason: 'organisationHome' | 'callerRegion' | 'otherRegion';
}

/** The answer to a caller: VMs in the order in which to try them. */
export interface SteeringAnswer {
  readonly choices: readonly SteeringChoice[];

  /** Wall-clock time in milliseconds until which the answer may be kept. */
  readonly expiresAtMs: number;
}

/** Decides which VMs a caller uses, from the wall-clock time `nowMs` on. */
export function decideSteering(
  question: SteeringQuestion,
  nowMs: number,
): SteeringAnswer {
  const {vms, region, homeProcessId, position} = question;
  const home = vms.getByProcess(homeProcessId);
  const choices = new Map<string, SteeringChoice>();
  const add = (vm: fleet.VmRecord, reason: SteeringChoice['reason']) => {
    if (choices.size < MAX_CHOICES && !choices.has(vm.processId))
      choices.set(vm.processId, getChoice(vm, reason));
  };
  if (home !== undefined) add(home, 'organisationHome');
  for (const vm of vms.getInRegion(region, position, MAX_CHOICES))
    add(vm, 'callerRegion');
  if (home !== undefined)
    for (const vm of vms.getInRegion(home.region, position, MAX_CHOICES))
      add(vm, 'otherRegion');
  for (const vm of vms.getAnywhere(position, 2 * MAX_CHOICES))
    add(vm, 'otherRegion');
  return {
    choices: [...choices.values()],
    expiresAtMs: nowMs + STEERING_TERM_MS,
  };
}

function getChoice(
  vm: fleet.VmRecord,
  reason: SteeringChoice['reason'],
): SteeringChoice {
  const {vmId, callersAddress, region} = vm;
  return {vmId, callersAddress, region, reason};
}
