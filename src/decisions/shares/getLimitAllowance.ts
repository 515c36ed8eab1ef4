import type * as entry from '../../model/entry/index.js';

/** What is known of the use of one organisation's limit by several VMs. */
export interface FleetUse {
  /** VMs that may be serving, this one included. */
  readonly memberCount: number;

  /** What VMs said that were heard lately and have counted for a whole window. */
  readonly completeUses: readonly entry.LimitUse[];

  /** What younger VMs said; they may have admitted more before they started again. */
  readonly youngUses: readonly entry.LimitUse[];
}

/** What decides what a VM may admit; the complete uses contain its own. */
export interface LimitAllowanceInput extends FleetUse {
  /** Requests that one window may hold over all VMs. */
  readonly windowCount: number;

  /** The limit of the whole fleet, in requests a second. */
  readonly limitPerSecond: number;

  /**
   * What this VM's callers ask for, in requests a second, as far as the others have heard it. In a surge all VMs'
   * demands rise at once: parts by the newest own one and older ones of the others add up to more than the whole.
   */
  readonly ownDemandPerSecond: number;
}

/** What a VM may admit of an organisation until it tells its use again. */
export interface LimitAllowance {
  /** Requests of its own callers that may come at once; a fraction is the chance of one more. */
  readonly ownCount: number;

  /** Requests a second of its own callers on top, in place of those that leave the window. */
  readonly ownPerSecond: number;

  /** Requests of other VMs' callers, for the VM that lends for the organisation. */
  readonly lentCount: number;
}

/**
 * The part of a window's remainder that all VMs together may admit before they hear of each other's use.
 * With the part that is lent, a surge that reaches all VMs at once stays within the tolerance of the window.
 */
const OWN_PART = 0.22;

/** The part of a window's remainder that the organisation's lender may give to VMs that have used up theirs. */
const LENT_PART = 0.36;

/**
 * How many seconds of its measured demand a VM may admit at once, or lend of the fleet's: in a surge the use is
 * known to all before demand is measured that high.
 */
const RAMP_SECONDS = 1.6;

/** Requests on top of that which a VM may admit at once, and which may be lent. */
const OWN_RAMP_COUNT = 4;
const LENT_RAMP_COUNT = 20;

/** The part of the requests that leave the window which others replace as they do. */
const REPLACED_PART = 0.9;

/**
 * Requests a second that every VM is taken to be asked for beside what it measured, so that a VM with few
 * requests keeps room for the next ones.
 */
const PRIOR_DEMAND_PER_SECOND = 2;

/** Decides what a VM may admit of an organisation until it tells its use again. */
export function getLimitAllowance(input: LimitAllowanceInput): LimitAllowance {
  const {windowCount, memberCount, completeUses, youngUses} = input;
  const equalCount = windowCount / memberCount;
  const silentCount = memberCount - completeUses.length - youngUses.length;
  let usedCount = Math.max(0, silentCount) * equalCount;
  for (const use of youngUses)
    usedCount += Math.max(use.admittedCount, equalCount);
  let leavingPerSecond = 0;
  let demandPerSecond = 0;
  for (const use of completeUses) {
    usedCount += use.admittedCount;
    leavingPerSecond += use.leavingCount;
    demandPerSecond += use.demandPerSecond;
  }
  const remainder = Math.max(0, windowCount - usedCount);
  // Where the window holds more than it may, as after a lower limit, no more than the limit comes in for what leaves.
  const roomPerSecond = windowCount - usedCount + leavingPerSecond;
  const replacedPerSecond = Math.min(
    leavingPerSecond * REPLACED_PART,
    Math.max(roomPerSecond, input.limitPerSecond),
  );
  const part =
    (input.ownDemandPerSecond + PRIOR_DEMAND_PER_SECOND) /
    (demandPerSecond + completeUses.length * PRIOR_DEMAND_PER_SECOND);
  return {
    ownCount: Math.min(
      remainder * OWN_PART * part,
      input.ownDemandPerSecond * RAMP_SECONDS + OWN_RAMP_COUNT,
    ),
    ownPerSecond: replacedPerSecond * part,
    lentCount: Math.min(
      remainder * LENT_PART,
      demandPerSecond * RAMP_SECONDS + LENT_RAMP_COUNT,
    ),
  };
}
