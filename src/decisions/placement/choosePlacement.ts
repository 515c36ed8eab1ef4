/** What a placement knows of one upstream that may be sent a request. */
export interface PlacementView {
  readonly upstreamId: string;
  readonly slotCount: number;

  /** Requests that it is thought to run or queue, for everyone. */
  readonly busyCount: number;

  /** Whether it may get a request now: reachable, not leaving, and within the pace of a cold one. */
  readonly isOpen: boolean;
}

/** Where a request goes. */
export type Placement =
  | {readonly kind: 'chosen'; readonly upstreamId: string}
  /** None takes work at all. */
  | {readonly kind: 'none'}
  /** Those that take work are full. */
  | {readonly kind: 'full'};

/** Requests for each slot up to which the first choice gets its objects. */
const FIRST_CHOICE_LOAD = 1;

/** Load for each slot below the first choice's that makes another choice worth a cold start there. */
const WORTHWHILE_DIFFERENCE = 0.34;

/**
 * Chooses among the upstreams that come first for an object. The first keeps its objects, as it has
 * them warm; a later one is taken when the first is full and the later one is well below it.
 */
export function choosePlacement(
  ranked: readonly PlacementView[],
  maxLoad: number,
): Placement {
  const open = ranked.filter(view => view.isOpen);
  if (open.length === 0) return {kind: 'none'};
  let best = open[0];
  for (const view of open.slice(1)) {
    if (getLoad(best) < FIRST_CHOICE_LOAD) break;
    if (getLoad(view) < getLoad(best) - WORTHWHILE_DIFFERENCE) best = view;
  }
  if (getLoad(best) >= maxLoad) return {kind: 'full'};
  return {kind: 'chosen', upstreamId: best.upstreamId};
}

function getLoad(view: PlacementView): number {
  return view.busyCount / Math.max(1, view.slotCount);
}
