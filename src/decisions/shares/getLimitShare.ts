/** What a limit's share depends on. */
export interface LimitShareInput {
  /** The limit of the whole fleet, in requests a second. */
  readonly limitPerSecond: number;

  /** What this VM's callers ask for, in requests a second. */
  readonly ownDemandPerSecond: number;

  /** What the other VMs reported; those that reported nothing ask for little. */
  readonly reportedDemandsPerSecond: readonly number[];

  /** VMs beside this one that may be serving, whether heard of lately or not. */
  readonly otherCount: number;

  /** Whether this VM hears of the others; one that does not keeps to an equal part. */
  readonly isConnected: boolean;
}

/** The part of an equal share that every VM may use without a report. */
const UNREPORTED_PART = 0.5;

/** Gets the demand from which on a VM has to report it. */
export function getReportThreshold(
  limitPerSecond: number,
  memberCount: number,
): number {
  return (UNREPORTED_PART * limitPerSecond) / Math.max(1, memberCount);
}

/**
 * Gets the requests a second that this VM may admit of an organisation. The VMs' shares add up to the
 * limit at most: what nobody asks for is divided equally, and an excess of demand cuts all in proportion.
 */
export function getLimitShare(input: LimitShareInput): number {
  const {limitPerSecond, otherCount} = input;
  const memberCount = otherCount + 1;
  const equalShare = limitPerSecond / memberCount;
  if (!input.isConnected) return equalShare;
  const least = getReportThreshold(limitPerSecond, memberCount);
  const own = Math.max(least, input.ownDemandPerSecond);
  let total = own;
  for (const demand of input.reportedDemandsPerSecond)
    total += Math.max(least, demand);
  total +=
    least * Math.max(0, otherCount - input.reportedDemandsPerSecond.length);
  if (total <= limitPerSecond)
    return own + (limitPerSecond - total) / memberCount;
  // The unreported part of everyone stands first; only what is above it is cut.
  const free = limitPerSecond - least * memberCount;
  const excess = total - least * memberCount;
  return least + (free * (own - least)) / excess;
}
