/** The largest part of an interval by which one read is moved, so that reads don't become much more frequent. */
const MAX_SHIFT_INTERVALS = 0.25;

/** Deviations from the middle, in intervals, that are left as they are: later than wanted, and earlier. */
const MAX_LATE_INTERVALS = 0.1;
const MAX_EARLY_INTERVALS = 0.25;

/**
 * Gets the time of a reader's next read, moved towards the middle between two reads of the other reader. VMs that start
 * together read together, and followers would get no rows for a whole interval.
 *
 * @param plannedAtMs When the reader would read.
 * @param otherAtMs When the other reader last read.
 */
export function getStaggeredReadAtMs(
  plannedAtMs: number,
  otherAtMs: number,
  intervalMs: number,
): number {
  const offset = (plannedAtMs - otherAtMs) / intervalMs - 0.5;
  const lateIntervals = offset - Math.floor(offset);
  const isStaggered =
    lateIntervals <= MAX_LATE_INTERVALS ||
    lateIntervals >= 1 - MAX_EARLY_INTERVALS;
  if (isStaggered) return plannedAtMs;
  return (
    plannedAtMs - Math.min(lateIntervals, MAX_SHIFT_INTERVALS) * intervalMs
  );
}
