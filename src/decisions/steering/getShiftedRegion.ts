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
 * Gets the region that serves a caller at the wall-clock time `nowMs`. The position, at least 0 and below 1, is the
 * same for a caller at all times and on all VMs, so that a shift moves each caller once and all VMs give the same
 * result.
 */
export function getShiftedRegion(
  shifts: readonly configurations.Shift[],
  homeRegion: string,
  position: number,
  nowMs: number,
): string {
  let cumulativeFraction = 0;
  for (const shift of shifts) {
    if (shift.fromRegion !== homeRegion) continue;
    cumulativeFraction += getShiftFraction(shift, nowMs);
    if (position < cumulativeFraction) return shift.toRegion;
  }
  return homeRegion;
}
