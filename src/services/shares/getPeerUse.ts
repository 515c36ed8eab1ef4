import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

/** What the peers' statuses tell of their use of one organisation's limit. */
export type StatusUse = Pick<
  decisions.FleetUsage,
  'fullWindowUses' | 'partialWindowUses' | 'isDelayed'
>;

/** The peers' uses of all limits. */
export interface PeerUses {
  /** The sum of the reports of VMs that have counted their requests for a whole window, by organisation. */
  readonly fullWindowSums: readonly entry.LimitUse[];

  /** The number of VMs in `fullWindowSums`. */
  readonly fullWindowVmCount: number;
  readonly partialReports: readonly entry.LimitUseReport[];
  readonly isDelayed: boolean;
}

const NO_USE: entry.LimitUse = {
  demandPerSecond: 0,
  admittedCount: 0,
  leavingCount: 0,
};

/**
 * Gets the peers' uses from those reports that cover the organisations with the given digest. The uses are added up for
 * all organisations at once: with a hundred VMs, a sum for each organisation took a quarter of what an idle VM needs.
 */
export function getPeerUses(
  statuses: readonly entry.MemberStatus[],
  organisationsDigest: number,
): PeerUses {
  const reports = statuses.flatMap(({limitUseReport}) =>
    limitUseReport?.organisationsDigest === organisationsDigest
      ? [limitUseReport]
      : [],
  );
  const complete = reports.filter(({isComplete}) => isComplete);
  return {
    fullWindowSums: decisions.sumUses(complete),
    fullWindowVmCount: complete.reduce(
      (sum, {vmCount = 1}) => sum + vmCount,
      0,
    ),
    partialReports: reports.filter(({isComplete}) => !isComplete),
    isDelayed: reports.some(({vmCount}) => vmCount !== undefined),
  };
}

/** Gets the use of one organisation's limit by its index in the reports. */
export function getPeerUse(peerUses: PeerUses, index: number): StatusUse {
  const {fullWindowSums, fullWindowVmCount, partialReports, isDelayed} =
    peerUses;
  const sum = fullWindowSums[index] ?? NO_USE;
  return {
    fullWindowUses:
      fullWindowVmCount === 0 ? [] : [{...sum, vmCount: fullWindowVmCount}],
    partialWindowUses: partialReports.map(report => getUse(report, index)),
    isDelayed,
  };
}

function getUse(
  report: entry.LimitUseReport,
  index: number,
): decisions.ReportedUse {
  const use = report.uses[index] ?? NO_USE;
  return report.vmCount === undefined ? use : {...use, vmCount: report.vmCount};
}
