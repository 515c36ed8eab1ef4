/**
 * Whether the upstreams' entries can be read. Times are monotonic milliseconds; `readAtMs` is when the last reading
 * that succeeded was sent.
 */
export type StoreReach =
  | {readonly kind: 'reached'; readonly readAtMs: number}
  | {readonly kind: 'away'; readonly readAtMs: number}
  /** It answers again, but the entries have not been read yet. */
  | {
      readonly kind: 'returning';
      readonly readAtMs: number;
      readonly sinceMs: number;
    };

/** What is assumed before the first reading. */
export const UNREAD_STORE: StoreReach = {kind: 'reached', readAtMs: -Infinity};

/**
 * The heartbeats after a reading within which no entry that it has can lapse: that takes three heartbeats of silence,
 * and the last one was heard no more than one before the reading.
 */
const LAPSE_HEARTBEATS = 2;

/** Notes a reading of entries that succeeded. */
export function noteReading(sentAtMs: number): StoreReach {
  return {kind: 'reached', readAtMs: sentAtMs};
}

/** Notes a reading of entries that failed. One that was sent before the store answered again says nothing new. */
export function noteReadingFailed(
  reach: StoreReach,
  sentAtMs: number,
): StoreReach {
  const {readAtMs} = reach;
  switch (reach.kind) {
    case 'reached':
    case 'away':
      return {kind: 'away', readAtMs};
    case 'returning':
      return sentAtMs > reach.sinceMs ? {kind: 'away', readAtMs} : reach;
  }
}

/** Notes an answer of the store to any call. */
export function noteStoreAnswered(
  reach: StoreReach,
  nowMs: number,
): StoreReach {
  switch (reach.kind) {
    case 'away': {
      const {readAtMs} = reach;
      return {kind: 'returning', readAtMs, sinceMs: nowMs};
    }
    case 'reached':
    case 'returning':
      return reach;
  }
}

/**
 * Gets when the outage ended that a reading is the first after, or nothing when there was none in which entries can
 * have lapsed.
 *
 * @param sentAtMs When the reading was sent.
 * @param heartbeatMs How often upstreams renew their entries, in milliseconds.
 */
export function getOutageEndMs(
  reach: StoreReach,
  sentAtMs: number,
  heartbeatMs: number,
  nowMs: number,
): number | undefined {
  if (sentAtMs < reach.readAtMs + LAPSE_HEARTBEATS * heartbeatMs)
    return undefined;
  switch (reach.kind) {
    case 'reached':
      return undefined;
    case 'away':
      return nowMs;
    case 'returning':
      return reach.sinceMs;
  }
}
