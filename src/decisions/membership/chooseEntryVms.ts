import type * as entry from '../../model/entry/index.js';

/** The maximum number of entry VMs that one answer to a caller lists. */
const MAX_LISTED_VMS = 64;

/** The location of a caller. */
export interface CallerLocation {
  readonly region: string;
  readonly failureDomain: string;
}

/** Chooses the entry VMs for a caller: those in its failure domain, else those in its region, else all. */
export function chooseEntryVms(
  serving: readonly entry.MemberRecord[],
  location: CallerLocation,
): readonly entry.MemberRecord[] {
  const sameDomain = serving.filter(
    member => member.failureDomain === location.failureDomain,
  );
  if (sameDomain.length > 0) return sameDomain.slice(0, MAX_LISTED_VMS);
  const sameRegion = serving.filter(
    member => member.region === location.region,
  );
  return (sameRegion.length > 0 ? sameRegion : serving).slice(
    0,
    MAX_LISTED_VMS,
  );
}
