/** Evidence that the configuration of a process is the newest one. */
export interface FreshnessState {
  /** Monotonic time in milliseconds at which the latest successful read of the table was sent. */
  readonly tableReadSentAtMs: number;

  /** For each other slot, the latest heartbeat that its holder answered without reporting a newer version. */
  readonly heartbeatAnswers: readonly HeartbeatAnswer[];
}

/** A heartbeat that the holder of a slot answered. */
export interface HeartbeatAnswer {
  readonly slotIndex: number;

  /** Monotonic time in milliseconds at which the answered heartbeat was sent. */
  readonly sentAtMs: number;
}

/** How many heartbeat answers make a majority. */
export interface FreshnessQuorum {
  /** The number of slots that make a majority. */
  readonly majority: number;

  /** Whether this process holds a slot and counts towards the majority itself. */
  readonly isSelfCounted: boolean;
}

/** How long in milliseconds a configuration may be used after it was confirmed to be the newest one. */
export const FRESHNESS_TERM_MS = 3000;

/** The initial state: no read of the table and no heartbeat answer yet. */
export const INITIAL_FRESHNESS: FreshnessState = {
  tableReadSentAtMs: -Infinity,
  heartbeatAnswers: [],
};

/** Adds an answered heartbeat, which replaces an earlier one of the same slot. */
export function addHeartbeatAnswer(
  state: FreshnessState,
  answer: HeartbeatAnswer,
): FreshnessState {
  const others = state.heartbeatAnswers.filter(
    entry => entry.slotIndex !== answer.slotIndex,
  );
  return {...state, heartbeatAnswers: [...others, answer]};
}

/** Adds a successful read of the table that was sent at the monotonic time `sentAtMs`. */
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
 * Gets the monotonic time in milliseconds until which API keys, configuration and shares may be used.
 * A change is accepted only once a majority of the slot holders has it, so a process that gets heartbeat answers from a
 * majority after that learns of the change.
 */
export function getFreshUntilMs(
  state: FreshnessState,
  quorum: FreshnessQuorum,
): number {
  const quorumSentAtMs = getQuorumSentAtMs(state, quorum);
  return Math.max(state.tableReadSentAtMs, quorumSentAtMs) + FRESHNESS_TERM_MS;
}

function getQuorumSentAtMs(
  state: FreshnessState,
  quorum: FreshnessQuorum,
): number {
  const neededCount = quorum.majority - (quorum.isSelfCounted ? 1 : 0);
  if (neededCount <= 0) return -Infinity;
  const sentAtMsDescending = state.heartbeatAnswers
    .map(entry => entry.sentAtMs)
    .sort((a, b) => b - a);
  return sentAtMsDescending[neededCount - 1] ?? -Infinity;
}
