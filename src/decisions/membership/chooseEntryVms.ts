import type * as entry from '../../model/entry/index.js';
import * as draws from './drawVms.js';

/** The maximum number of entry VMs that one answer to a caller lists. */
const MAX_LISTED_VMS = 64;

/** The location of a caller. */
export interface CallerLocation {
  readonly region: string;
  readonly failureDomain: string;
}

/**
 * Chooses the entry VMs for a caller: those in its failure domain, else those in its region, else all. Where these
 * differ much in processors, `drawFraction` (from 0 to below 1) decides which of them are listed.
 */
export function chooseEntryVms(
  serving: readonly entry.MemberRecord[],
  location: CallerLocation,
  drawFraction: number,
): readonly entry.MemberRecord[] {
  const candidates = getCandidates(serving, location);
  return draws.drawVms(candidates, drawFraction).slice(0, MAX_LISTED_VMS);
}

function getCandidates(
  serving: readonly entry.MemberRecord[],
  location: CallerLocation,
): readonly entry.MemberRecord[] {
  const sameDomain = serving.filter(
    member => member.failureDomain === location.failureDomain,
  );
  if (sameDomain.length > 0) return sameDomain;
  const sameRegion = serving.filter(
    member => member.region === location.region,
  );
  return sameRegion.length > 0 ? sameRegion : serving;
}
