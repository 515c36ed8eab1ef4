import type * as allowances from './getLimitAllowance.js';

/** What a VM knows while it has not yet counted requests for a window. */
export interface StartAllowanceInput extends allowances.FleetUsage {
  /** The limit of the whole fleet, in requests per second. */
  readonly limitPerSecond: number;

  /** The time in milliseconds since the VM started; undefined once it has counted requests for a window. */
  readonly sinceStartMs: number | undefined;

  /** Whether the VM has recently received the status of any peer. */
  readonly isConnected: boolean;

  /** Whether the VM is the organisation's lender, as far as it knows. */
  readonly isLender: boolean;
}

/** The requests of an organisation that a VM may admit, and lend, until it knows the window. */
export interface StartAllowance {
  readonly ownRatePerSecond: number;

  /** Requests that the VM may lend within a second; the fractional part is the probability of one more. */
  readonly lentCount: number;
}

/**
 * The part of the rate that the lender lends while all VMs have started less than a window ago. A VM's equal share of
 * the rate fits no uneven demand: after all VMs of a fleet had restarted, an eighth of the requests were refused for
 * limits of which little was used.
 */
const POOLED_RATE_FRACTION = 0.6;

/** How long in milliseconds after its start a VM pools: the VMs have then heard of each other and agree on the lender. */
const POOL_DELAY_MS = 1500;

/**
 * Divides the rate of a limit while the VM knows nothing of the window. Load: uneven demand after a restart of all VMs.
 * The VM gets an equal share; while all VMs that it hears have started less than a window ago, a part of all shares is
 * lent by the organisation's lender instead. Both add up to the rate. VMs that know the window lend by what they know of
 * it, so that nothing is pooled beside them.
 */
export function getStartAllowance(input: StartAllowanceInput): StartAllowance {
  const {limitPerSecond, memberCount, isLender} = input;
  const pooledFraction = isPooled(input) ? POOLED_RATE_FRACTION : 0;
  return {
    ownRatePerSecond: (limitPerSecond / memberCount) * (1 - pooledFraction),
    lentCount: isLender
      ? limitPerSecond * pooledFraction * getHeardFraction(input)
      : 0,
  };
}

function isPooled({
  sinceStartMs,
  isConnected,
  fullWindowUses,
  partialWindowUses,
}: StartAllowanceInput): boolean {
  return (
    isConnected &&
    sinceStartMs !== undefined &&
    sinceStartMs >= POOL_DELAY_MS &&
    fullWindowUses.length === 0 &&
    partialWindowUses.length > 0
  );
}

/**
 * Gets the fraction of the fleet that the VM hears, with itself. Where a fleet is cut in two, each part has a lender,
 * which lends for its own part only.
 */
function getHeardFraction({
  memberCount,
  partialWindowUses,
}: StartAllowanceInput): number {
  const heardCount = partialWindowUses.reduce(
    (sum, {vmCount = 1}) => sum + vmCount,
    1,
  );
  return Math.min(1, heardCount / memberCount);
}
