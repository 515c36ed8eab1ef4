import type * as entry from '../../model/entry/index.js';

/** The sum of one organisation's uses, while it is being added up. */
type UseSum = {-readonly [F in keyof entry.LimitUse]: entry.LimitUse[F]};

/** Adds up the uses of several reports by organisation; a report that is shorter has no use of the remaining ones. */
export function sumUses(
  reports: readonly entry.LimitUseReport[],
): readonly entry.LimitUse[] {
  const sums: UseSum[] = [];
  for (const {uses} of reports) {
    while (sums.length < uses.length)
      sums.push({demandPerSecond: 0, admittedCount: 0, leavingCount: 0});
    for (const [index, use] of uses.entries()) {
      const sum = sums[index];
      sum.demandPerSecond += use.demandPerSecond;
      sum.admittedCount += use.admittedCount;
      sum.leavingCount += use.leavingCount;
    }
  }
  return sums;
}
