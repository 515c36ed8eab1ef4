/**
 * Whether the upstream records can be read from the store. Times are monotonic milliseconds; `lastReadSentAtMs` is the
 * time at which the last successful read was sent.
 */
export type StoreReachability =
  | {readonly kind: 'reachable'; readonly lastReadSentAtMs: number}
  | {readonly kind: 'unreachable'; readonly lastReadSentAtMs: number}
  /** The store has answered again since `recoveredAtMs`, but the upstream records have not been read yet. */
  | {
      readonly kind: 'recovering';
      readonly lastReadSentAtMs: number;
      readonly recoveredAtMs: number;
    };

/** The initial state, before the first read. */
export const INITIAL_STORE_REACHABILITY: StoreReachability = {
  kind: 'reachable',
  lastReadSentAtMs: -Infinity,
};

/**
 * The number of heartbeat intervals after a read within which no record that it returned can expire: a record expires
 * after three intervals without a heartbeat, and its last heartbeat came at most one interval before the read.
 */
const MIN_EXPIRY_HEARTBEATS = 2;

/**
 * Gets the state after a successful read of the upstream records.
 *
 * @param sentAtMs When the read was sent.
 */
export function applyReadSuccess(sentAtMs: number): StoreReachability {
  return {kind: 'reachable', lastReadSentAtMs: sentAtMs};
}

/**
 * Gets the state after a failed read of the upstream records. The failure of a read that was sent before the store
 * answered again changes nothing.
 *
 * @param sentAtMs When the read was sent.
 */
export function applyReadFailure(
  reachability: StoreReachability,
  sentAtMs: number,
): StoreReachability {
  const {lastReadSentAtMs} = reachability;
  switch (reachability.kind) {
    case 'reachable':
    case 'unreachable':
      return {kind: 'unreachable', lastReadSentAtMs};
    case 'recovering':
      return sentAtMs > reachability.recoveredAtMs
        ? {kind: 'unreachable', lastReadSentAtMs}
        : reachability;
  }
}

/** Gets the state after any successful answer of the store. */
export function applyStoreAnswer(
  reachability: StoreReachability,
  nowMs: number,
): StoreReachability {
  switch (reachability.kind) {
    case 'unreachable': {
      const {lastReadSentAtMs} = reachability;
      return {kind: 'recovering', lastReadSentAtMs, recoveredAtMs: nowMs};
    }
    case 'reachable':
    case 'recovering':
      return reachability;
  }
}

/**
 * Gets the end of the outage that a successful read is the first one after. Undefined when there was no outage, or one
 * too short for any record to expire.
 *
 * @param sentAtMs When the read was sent.
 * @param heartbeatIntervalMs The interval in milliseconds at which upstreams renew their records.
 * @param nowMs When the read succeeded; taken as the end of the outage if the store gave no answer before.
 */
export function getOutageEndMs(
  reachability: StoreReachability,
  sentAtMs: number,
  heartbeatIntervalMs: number,
  nowMs: number,
): number | undefined {
  if (
    sentAtMs <
    reachability.lastReadSentAtMs + MIN_EXPIRY_HEARTBEATS * heartbeatIntervalMs
  )
    return undefined;
  switch (reachability.kind) {
    case 'reachable':
      return undefined;
    case 'unreachable':
      return nowMs;
    case 'recovering':
      return reachability.recoveredAtMs;
  }
}
