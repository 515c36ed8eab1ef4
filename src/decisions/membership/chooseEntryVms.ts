import type * as entry from '../../model/entry/index.js';

/** The most VMs that one answer names. */
const MAX_VMS = 64;

/** Where a caller is. */
export interface CallerPlace {
  readonly region: string;
  readonly failureDomain: string;
}

/** Chooses the VMs that a caller may use: those of its failure domain, else of its region, else all. */
export function chooseEntryVms(
  serving: readonly entry.MemberRecord[],
  place: CallerPlace,
): readonly entry.MemberRecord[] {
  const here = serving.filter(
    member => member.failureDomain === place.failureDomain,
  );
  if (here.length > 0) return here.slice(0, MAX_VMS);
  const near = serving.filter(member => member.region === place.region);
  return (near.length > 0 ? near : serving).slice(0, MAX_VMS);
}
