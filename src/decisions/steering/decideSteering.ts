import type * as fleet from '../../model/fleet/index.js';

/** How long in milliseconds callers may keep an answer. */
export const STEERING_TERM_MS = 3000;

/** The most VMs that an answer names. */
export const MAX_CHOICES = 8;

/** What the order of the VMs depends on. */
export interface SteeringQuestion {
  /** VMs that are alive and not stopping, as seen from here. */
  readonly vms: readonly fleet.VmRecord[];

  /** The region that serves the caller. */
  readonly region: string;

  /** The process that gathers the shares of the caller's organisation, or an empty string. */
  readonly homeProcessId: string;

  /** Spreads callers over VMs of equal rank; from 0 up to 1. */
  readonly position: number;
}

/** One VM of an answer and why it stands where it does. */
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
  const home = question.vms.filter(
    vm => vm.processId === question.homeProcessId,
  );
  const others = question.vms.filter(
    vm => vm.processId !== question.homeProcessId,
  );
  const homeRegion = home[0]?.region;
  const near = others.filter(vm => vm.region === question.region);
  const far = others.filter(vm => vm.region !== question.region);
  const farFirst = far.filter(vm => vm.region === homeRegion);
  const farLast = far.filter(vm => vm.region !== homeRegion);
  const choices = [
    ...home.map(vm => getChoice(vm, 'organisationHome')),
    ...rotate(near, question.position).map(vm => getChoice(vm, 'callerRegion')),
    ...rotate(farFirst, question.position).map(vm =>
      getChoice(vm, 'otherRegion'),
    ),
    ...rotate(farLast, question.position).map(vm =>
      getChoice(vm, 'otherRegion'),
    ),
  ];
  return {
    choices: choices.slice(0, MAX_CHOICES),
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

function rotate(
  vms: readonly fleet.VmRecord[],
  position: number,
): readonly fleet.VmRecord[] {
  const start = Math.floor(position * vms.length);
  return [...vms.slice(start), ...vms.slice(0, start)];
}
