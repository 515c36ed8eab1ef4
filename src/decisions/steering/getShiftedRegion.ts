import type * as configurations from '../../model/configuration/index.js';

/** Gets the fraction of a region's callers that a shift has moved at the wall-clock time `nowMs`. */
export function getShiftFraction(
  shift: configurations.Shift,
  nowMs: number,
): number {
  if (nowMs <= shift.startAtMs) return 0;
  if (nowMs >= shift.endAtMs) return shift.capFraction;
  const progress =
    (nowMs - shift.startAtMs) / (shift.endAtMs - shift.startAtMs);
  return shift.capFraction * progress;
}

/**
 * Gets the region that serves a caller at the wall-clock time `nowMs`.
 * The position, from 0 up to 1, is fixed for each caller, so that a caller moves once and all VMs agree.
 */
export function getShiftedRegion(
  shifts: readonly configurations.Shift[],
  homeRegion: string,
  position: number,
  nowMs: number,
): string {
  let passedFraction = 0;
  for (const shift of shifts) {
    if (shift.fromRegion !== homeRegion) continue;
    passedFraction += getShiftFraction(shift, nowMs);
    if (position < passedFraction) return shift.toRegion;
  }
  return homeRegion;
}
