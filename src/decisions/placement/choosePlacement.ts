/** What a placement knows of one upstream that may be sent a request. */
export interface PlacementView {
  readonly upstreamId: string;
  readonly slotCount: number;

  /** Requests that it is thought to run or queue, for everyone. */
  readonly busyCount: number;

  /** Whether it is thought to have handled the object lately. */
  readonly isWarm: boolean;

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

/** Requests for each slot from which on another upstream that has the object warm is looked at. */
const WARM_CHOICE_LOAD = 1;

/** Load for each slot below the first choice's that makes a warm one worth taking. */
const WARM_DIFFERENCE = 0.5;

/**
 * Load for each slot below the first choice's that makes a cold one worth taking: a cold run takes about
 * three times as long as a warm one, and keeps a slot that long from others.
 */
const COLD_DIFFERENCE = 2.3;

/**
 * Chooses among the upstreams that come first for an object. The first has it warm; a later one is taken
 * only when the wait at the first outweighs what the later one's run takes longer.
 */
export function choosePlacement(
  ranked: readonly PlacementView[],
  maxLoad: number,
): Placement {
  const open = ranked.filter(view => view.isOpen);
  if (open.length === 0) return {kind: 'none'};
  let best = open[0];
  if (getLoad(best) >= WARM_CHOICE_LOAD)
    for (const view of open.slice(1)) {
      const difference = view.isWarm ? WARM_DIFFERENCE : COLD_DIFFERENCE;
      if (getLoad(view) < getLoad(best) - difference) best = view;
    }
  if (getLoad(best) >= maxLoad) return {kind: 'full'};
  return {kind: 'chosen', upstreamId: best.upstreamId};
}

function getLoad(view: PlacementView): number {
  return view.busyCount / Math.max(1, view.slotCount);
}
