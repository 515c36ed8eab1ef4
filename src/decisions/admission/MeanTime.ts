/** A running mean of durations in which older ones count less. */
export interface MeanTime {
  readonly meanMs: number;

  /** The sum of the weights of the recorded durations, at most `MAX_WEIGHT`. */
  readonly weight: number;
}

/**
 * The largest weight of the past: the influence of a duration halves with each 32 further ones (32 / ln 2). The mean
 * settles within a burst of a few seconds, and its error is a few in 100 when durations vary by 15%.
 */
const MAX_WEIGHT = 46;

/** Returns a mean that includes a further duration of a weight from 0 to 1. */
export function addDuration(
  previous: MeanTime | undefined,
  durationMs: number,
  weight: number,
): MeanTime {
  if (previous === undefined) return {meanMs: durationMs, weight};
  const total = Math.min(MAX_WEIGHT, previous.weight + weight);
  if (total <= 0) return previous;
  const meanMs =
    previous.meanMs + ((durationMs - previous.meanMs) * weight) / total;
  return {meanMs, weight: total};
}
