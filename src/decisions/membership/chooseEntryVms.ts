import type * as entry from '../../model/entry/index.js';

/** The most VMs that one answer names. */
const MAX_VMS = 64;

/** Chooses the VMs that a caller may use: those of its region, or all when its region has none. */
export function chooseEntryVms(
  serving: readonly entry.MemberRecord[],
  region: string,
): readonly entry.MemberRecord[] {
  const near = serving.filter(member => member.region === region);
  return (near.length > 0 ? near : serving).slice(0, MAX_VMS);
}
