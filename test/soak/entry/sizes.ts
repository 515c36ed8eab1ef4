import type * as actions from './SoakAction.js';

/** Sizes of soak runs; the seed selects one of them. */
const SIZES: readonly actions.SoakSize[] = [
  {vmCount: 3, upstreamCount: 4, actionCount: 12, actionsEndAtMs: 9000},
  {vmCount: 5, upstreamCount: 8, actionCount: 20, actionsEndAtMs: 12_000},
  {vmCount: 2, upstreamCount: 3, actionCount: 10, actionsEndAtMs: 8000},
  {vmCount: 7, upstreamCount: 12, actionCount: 30, actionsEndAtMs: 14_000},
];

/** Returns the size of the soak run of a seed. */
export function getSize(seed: number): actions.SoakSize {
  return SIZES[seed % SIZES.length];
}
