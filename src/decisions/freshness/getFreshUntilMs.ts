/** What one process knows of how new its configuration is. */
export interface FreshnessState {
  /** Monotonic time in milliseconds at which the last answered read of the table was sent. */
  readonly tableReadSentAtMs: number;

  /** The newest heartbeat that each other slot's holder answered with no newer version than ours. */
  readonly heard: readonly HeardSlot[];
}

/** A slot whose holder answered. */
export interface HeardSlot {
  readonly slotIndex: number;

  /** Monotonic time in milliseconds at which the answered heartbeat was sent. */
  readonly sentAtMs: number;
}

/** Who counts towards the majority. */
export interface FreshnessQuorum {
  /** How many slots make a majority. */
  readonly majority: number;

  /** Whether this process holds a slot itself and counts. */
  readonly isSelfCounted: boolean;
}

/** How long in milliseconds a reading of the newest version lasts. */
export const FRESHNESS_TERM_MS = 3000;

/** The state of a process that has heard nothing. */
export const NOT_FRESH: FreshnessState = {
  tableReadSentAtMs: -Infinity,
  heard: [],
};

/** Notes an answered heartbeat. */
export function addHeard(
  state: FreshnessState,
  heard: HeardSlot,
): FreshnessState {
  const others = state.heard.filter(
    entry => entry.slotIndex !== heard.slotIndex,
  );
  return {...state, heard: [...others, heard]};
}

/** Notes an answered read of the table. */
export function addTableRead(
  state: FreshnessState,
  sentAtMs: number,
): FreshnessState {
  return {
    ...state,
    tableReadSentAtMs: Math.max(state.tableReadSentAtMs, sentAtMs),
  };
}

/**
 * Gets the monotonic time in milliseconds until which keys, configuration and shares may be used.
 * A change is accepted once a majority has it, so whoever heard a majority since has heard of it.
 */
export function getFreshUntilMs(
  state: FreshnessState,
  quorum: FreshnessQuorum,
): number {
  const heardSinceMs = getMajorityHeardSinceMs(state, quorum);
  return Math.max(state.tableReadSentAtMs, heardSinceMs) + FRESHNESS_TERM_MS;
}

function getMajorityHeardSinceMs(
  state: FreshnessState,
  quorum: FreshnessQuorum,
): number {
  const neededCount = quorum.majority - (quorum.isSelfCounted ? 1 : 0);
  if (neededCount <= 0) return -Infinity;
  const newestFirst = state.heard
    .map(entry => entry.sentAtMs)
    .sort((a, b) => b - a);
  return newestFirst[neededCount - 1] ?? -Infinity;
}
