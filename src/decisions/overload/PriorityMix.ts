/** How many of the latest requests had each priority; older ones count less. */
export type PriorityMix = ReadonlyMap<number, number>;

/** The factor for the counts with each further request: the latest few hundred determine the mix. */
const KEPT_PART = 1 - 1 / 256;

/** The part of an equal share that every priority keeps: more than the quarter that each kind must be served at least. */
const EQUAL_PART = 1 / 3;

/** Returns the mix after a further request. */
export function addPriority(mix: PriorityMix, priority: number): PriorityMix {
  const next = new Map<number, number>();
  for (const [other, count] of mix) next.set(other, count * KEPT_PART);
  return next.set(priority, (next.get(priority) ?? 0) + 1);
}

/**
 * Gets the fraction of the requests of a priority that is admitted, so that the fraction `takenPart` of all requests is
 * admitted: an equal part of each priority, and the rest from the most urgent priority on. Handles more requests than
 * the VM has processor time for.
 */
export function getAdmittedPart(
  mix: PriorityMix,
  priority: number,
  takenPart: number,
): number {
  let totalCount = 0;
  let moreUrgentCount = 0;
  for (const [other, count] of mix) {
    totalCount += count;
    if (other < priority) moreUrgentCount += count;
  }
  const ownCount = mix.get(priority) ?? 0;
  if (ownCount <= 0) return takenPart;
  const equalPart = takenPart * EQUAL_PART;
  const restCount = (takenPart - equalPart) * totalCount;
  const leftCount = restCount - moreUrgentCount * (1 - equalPart);
  const urgencyPart = leftCount / ownCount;
  return equalPart + Math.min(1 - equalPart, Math.max(0, urgencyPart));
}
