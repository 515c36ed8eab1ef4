import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as errors from '../../model/errors/index.js';
import * as refusals from './refusals.js';
import type * as entries from './UpstreamEntry.js';
import type * as messages from './UpstreamsMessage.js';

/** Gets the figures of upstreams: the open ones first, then by distance and utilisation. */
export function rankUpstreams(
  upstreams: readonly entries.UpstreamEntry[],
  clock: kernel.Clock,
): readonly messages.UpstreamFigures[] {
  return upstreams
    .map(entry => getFigures(entry, clock))
    .sort(
      (a, b) =>
        Number(b.condition.kind === 'open') -
          Number(a.condition.kind === 'open') ||
        decisions.DISTANCES.indexOf(a.distance) -
          decisions.DISTANCES.indexOf(b.distance) ||
        a.busyCount / a.usableSlotCount - b.busyCount / b.usableSlotCount,
    );
}

/** Gets the results that a first attempt among these upstreams could have now. */
export function previewChoices(
  views: readonly decisions.UpstreamView[],
  processCount: number,
  clock: kernel.Clock,
): readonly messages.ChoicePreview[] {
  const input = {triedUpstreamIds: [], processCount};
  return decisions
    .getPossibleChoices(views, input, clock.monotonicMs())
    .map(choice =>
      choice.kind === 'chosen' ? choice : refusals.getNoChoiceResult(choice),
    );
}

function getFigures(
  entry: entries.UpstreamEntry,
  clock: kernel.Clock,
): messages.UpstreamFigures {
  const {view} = entry;
  const {upstreamId, region, distance, slotCount} = view;
  const nowMs = clock.monotonicMs();
  const usableSlotCount = decisions.getUsableSlotCount(view, nowMs);
  const busyCount = decisions.getBusyCount(view, nowMs);
  return {
    upstreamId,
    region,
    distance,
    condition: getCondition(entry, clock),
    slotCount,
    usableSlotCount,
    busyCount,
    freeSlotCount: Math.max(0, usableSlotCount - busyCount),
    queuedCount: Math.max(0, busyCount - usableSlotCount),
    isWarm: usableSlotCount >= slotCount,
  };
}

function getCondition(
  {upstream, isLeaving, view}: entries.UpstreamEntry,
  clock: kernel.Clock,
): messages.UpstreamCondition {
  const {avoidance} = view;
  const nowMs = clock.monotonicMs();
  if (upstream.status === 'draining') return {kind: 'draining'};
  if (isLeaving) return {kind: 'leaving'};
  if (!decisions.isAvoided(avoidance, nowMs)) return {kind: 'open'};
  switch (avoidance.kind) {
    case 'none':
      return {kind: 'open'};
    case 'shed':
    case 'failed': {
      const untilMs = clock.wallMs() + avoidance.untilMs - nowMs;
      return {kind: avoidance.kind, untilMs};
    }
    default:
      return errors.throwUnreachable(avoidance);
  }
}
