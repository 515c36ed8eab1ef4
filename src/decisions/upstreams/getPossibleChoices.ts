import * as choices from './chooseUpstream.js';
import type * as views from './UpstreamView.js';

/**
 * Gets every choice that `chooseUpstream` can make, whatever random numbers are drawn, each once.
 *
 * Drawing the same upstream twice is enough to reach each of them: of two different ones the less loaded is chosen, and
 * it is passed over only if both have no free slot. So one number stands for both, and a choice changes only where that
 * number selects another candidate at some distance.
 */
export function getPossibleChoices(
  upstreams: readonly views.UpstreamView[],
  input: Omit<choices.ChoiceInput, 'randomA' | 'randomB'>,
  nowMs: number,
): readonly choices.UpstreamChoice[] {
  const possible = new Map<string, choices.UpstreamChoice>();
  for (const random of getDraws(upstreams, input, nowMs)) {
    const draw = {...input, randomA: random, randomB: random};
    const choice = choices.chooseUpstream(upstreams, draw, nowMs);
    const upstreamId = choice.kind === 'chosen' ? choice.upstreamId : '';
    possible.set(`${choice.kind} ${upstreamId}`, choice);
  }
  return [...possible.values()];
}

/** Gets a random number for each combination of candidates that one number can select at all distances. */
function getDraws(
  upstreams: readonly views.UpstreamView[],
  input: Omit<choices.ChoiceInput, 'randomA' | 'randomB'>,
  nowMs: number,
): readonly number[] {
  const usable = choices.getUsable(upstreams, input, nowMs);
  const starts = choices.DISTANCES.flatMap(distance => {
    const {length} = choices.getCandidates(usable, distance, input, nowMs);
    return Array.from({length}, (_, index) => index / length);
  });
  const bounds = [...new Set([0, ...starts, 1])].sort((a, b) => a - b);
  return bounds.slice(1).map((bound, index) => (bounds[index] + bound) / 2);
}
