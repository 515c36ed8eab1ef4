import type * as entry from '../../model/entry/index.js';

/** The use of one VM, or the sum of the uses of `vmCount` VMs. */
export interface ReportedUse extends entry.LimitUse {
  /** Absent for a single VM. */
  readonly vmCount?: number;
}

/** The use of one organisation's limit by several VMs, as they last reported it. */
export interface FleetUsage {
  /** The number of VMs that may be serving requests, including this one. */
  readonly memberCount: number;

  /** Recently received reports of VMs that have counted their requests for a whole window. */
  readonly fullWindowUses: readonly ReportedUse[];

  /** Reports of VMs that started less than a window ago; they may have admitted more requests before a restart. */
  readonly partialWindowUses: readonly ReportedUse[];

  /** Whether some of the uses arrived through collectors and may be a status interval older; false if absent. */
  readonly isDelayed?: boolean;
}

/** The input of `getLimitAllowance`; the reports for a whole window include this VM's own. */
export interface LimitAllowanceInput extends FleetUsage {
  /** The maximum number of requests that all VMs together may admit within one window. */
  readonly windowLimitCount: number;

  /** The limit of the whole fleet, in requests per second. */
  readonly limitPerSecond: number;

  /**
   * The demand of this VM's callers, in requests per second, as last reported to the other VMs. In a surge the demand
   * of all VMs rises at once: if each VM compared its newest demand with older reports of the others, the shares of
   * all VMs would add up to more than 1.
   */
  readonly ownDemandPerSecond: number;
}

/** The requests of an organisation that a VM may admit until it reports its use again. */
export interface LimitAllowance {
  /** Requests of its own callers that the VM may admit at once; the fractional part is the probability of one more. */
  readonly ownBurstCount: number;

  /** Additional requests per second of its own callers, in place of requests that leave the window. */
  readonly ownRatePerSecond: number;

  /** Requests that the VM may lend to other VMs, if it is the organisation's lender. */
  readonly lentCount: number;
}

/**
 * The fraction of a window's remaining requests that all VMs together may admit before they receive each other's
 * reports. Together with the lent fraction, it keeps a surge that reaches all VMs at once within the tolerance of the
 * window's limit.
 */
const OWN_REMAINDER_FRACTION = 0.22;

/**
 * The fraction of a window's remaining requests that the organisation's lender may lend to VMs that have used up
 * their own.
 */
const LENT_REMAINDER_FRACTION = 0.36;

/**
 * Seconds of its own demand that a VM may admit at once, and seconds of the fleet's demand that the lender may lend.
 * In a surge, each VM has received the others' reports of their use before the measured demand reaches the new level.
 */
const DEMAND_RAMP_SECONDS = 1.6;

/** Requests that a VM may admit at once in addition to `DEMAND_RAMP_SECONDS` of its demand. */
const OWN_EXTRA_REQUESTS = 4;

/** Requests that the lender may lend in addition to `DEMAND_RAMP_SECONDS` of the fleet's demand. */
const LENT_EXTRA_REQUESTS = 20;

/**
 * The part of both fractions that is used while some uses arrive through collectors, up to 2 s late: this ratio, less the
 * decrease times the part of the window that remains. VMs then admit for longer before they know of each other's surge,
 * and the emptier the window is, the more a surge may add: without this part, a window held more than is allowed.
 */
const DELAYED_RATIO = 1.15;
const DELAYED_RATIO_DECREASE = 0.6;

/** The fraction of the requests leaving the window that may be replaced by new requests as they leave. */
const REPLACEMENT_FRACTION = 0.9;

/**
 * Requests per second added to the measured demand of every VM, so that a VM with few requests has a share for the
 * next ones.
 */
const BASE_DEMAND_PER_SECOND = 2;

/** Calculates how many requests of an organisation a VM may admit until it reports its use again. */
export function getLimitAllowance(input: LimitAllowanceInput): LimitAllowance {
  const {windowLimitCount, memberCount, fullWindowUses, partialWindowUses} =
    input;
  const equalShareCount = windowLimitCount / memberCount;
  const unreportedVmCount =
    memberCount - getVmCount(fullWindowUses) - getVmCount(partialWindowUses);
  let usedCount = Math.max(0, unreportedVmCount) * equalShareCount;
  for (const use of partialWindowUses)
    usedCount += getPartialWindowCount(use, equalShareCount);
  let expiringPerSecond = 0;
  let demandPerSecond = 0;
  for (const use of fullWindowUses) {
    usedCount += use.admittedCount;
    expiringPerSecond += use.leavingCount;
    demandPerSecond += use.demandPerSecond;
  }
  const remainder =
    input.isDelayed === true
      ? getDelayedRemainder(windowLimitCount, usedCount)
      : Math.max(0, windowLimitCount - usedCount);
  // If the window holds more requests than allowed, for example after the limit was lowered, requests that leave it
  // are replaced at the rate of the limit at most.
  const availablePerSecond = windowLimitCount - usedCount + expiringPerSecond;
  const replacementPerSecond = Math.min(
    expiringPerSecond * REPLACEMENT_FRACTION,
    Math.max(availablePerSecond, input.limitPerSecond),
  );
  const demandFraction =
    (input.ownDemandPerSecond + BASE_DEMAND_PER_SECOND) /
    (demandPerSecond + getVmCount(fullWindowUses) * BASE_DEMAND_PER_SECOND);
  return {
    ownBurstCount: Math.min(
      remainder * OWN_REMAINDER_FRACTION * demandFraction,
      input.ownDemandPerSecond * DEMAND_RAMP_SECONDS + OWN_EXTRA_REQUESTS,
    ),
    ownRatePerSecond: replacementPerSecond * demandFraction,
    lentCount: Math.min(
      remainder * LENT_REMAINDER_FRACTION,
      demandPerSecond * DEMAND_RAMP_SECONDS + LENT_EXTRA_REQUESTS,
    ),
  };
}

/** Gets the part of a window's remaining requests that is divided among VMs while uses arrive late. */
function getDelayedRemainder(
  windowLimitCount: number,
  usedCount: number,
): number {
  const remainder = Math.max(0, windowLimitCount - usedCount);
  const remainingRatio = remainder / windowLimitCount;
  return remainder * (DELAYED_RATIO - DELAYED_RATIO_DECREASE * remainingRatio);
}

function getVmCount(uses: readonly ReportedUse[]): number {
  return uses.reduce((sum, {vmCount = 1}) => sum + vmCount, 0);
}

/** Gets the requests that VMs may have admitted that started less than a window ago: each at least an equal share. */
function getPartialWindowCount(
  use: ReportedUse,
  equalShareCount: number,
): number {
  const {vmCount = 1, admittedCount} = use;
  // The sum over several VMs of the larger of two counts is not known; the sum of both is at least as large.
  return vmCount === 1
    ? Math.max(admittedCount, equalShareCount)
    : admittedCount + vmCount * equalShareCount;
}
