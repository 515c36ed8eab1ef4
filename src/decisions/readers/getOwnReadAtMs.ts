/** How much older than a reader's interval rows become at least before a VM reads the store itself. */
export const READER_LATENESS_MS = 300;

/** The interval of one VM's tries while readers say that the store is unavailable. */
export const UNAVAILABLE_RETRY_INTERVAL_MS = 1000;

/** How long a read of the store may take at least, from the bound on leaving upstreams: the store's usual time-out. */
const READ_RESERVE_MS = 900;

/** What a VM that follows readers knows about the rows of one table. */
export interface FollowedTable {
  /** Monotonic time in milliseconds at which the rows were current. */
  readonly currentAtMs: number;

  /** Monotonic time in milliseconds at which the VM last sent a read of its own. */
  readonly triedAtMs: number;

  /** The shortest time in milliseconds between two reads of its own, of which the first one failed. */
  readonly retryIntervalMs: number;

  /** The longest time in milliseconds between two announcements of a reader that works. */
  readonly readerIntervalMs: number;

  /** The bound in milliseconds within which a change must take effect. */
  readonly maxDelayMs: number;

  /** Whether the readers say that the store is unavailable. */
  readonly isStoreUnavailable: boolean;

  /** A random number from 0 to below 1, which the VM draws once. */
  readonly phase: number;
}

/**
 * Gets the monotonic time in milliseconds at which a VM that follows readers reads the store itself. The VMs' reads are
 * spread over what the bound leaves: an announcement that is a little late, as on a VM that is behind, then makes few VMs
 * read, and a store that is unavailable to the readers only is still read in time by the others. While readers say that
 * the store is unavailable, VMs try once per second, each at its own phase.
 */
export function getOwnReadAtMs(table: FollowedTable): number {
  const {currentAtMs, triedAtMs, readerIntervalMs, maxDelayMs} = table;
  const spreadMs = Math.max(
    0,
    Math.min(
      UNAVAILABLE_RETRY_INTERVAL_MS,
      maxDelayMs - readerIntervalMs - READER_LATENESS_MS - READ_RESERVE_MS,
    ),
  );
  const dueAtMs =
    currentAtMs +
    readerIntervalMs +
    READER_LATENESS_MS +
    table.phase * spreadMs;
  return Math.max(
    dueAtMs,
    table.isStoreUnavailable
      ? getNextAtPhase(triedAtMs, table.phase)
      : triedAtMs + table.retryIntervalMs,
  );
}

/** Gets the VM's next turn: VMs that first tried at the same time try at different times from then on. */
function getNextAtPhase(triedAtMs: number, phase: number): number {
  if (triedAtMs === -Infinity) return triedAtMs;
  const intervalMs = UNAVAILABLE_RETRY_INTERVAL_MS;
  const phaseMs = phase * intervalMs;
  const earliestAtMs = triedAtMs + intervalMs / 2;
  return (
    Math.ceil((earliestAtMs - phaseMs) / intervalMs) * intervalMs + phaseMs
  );
}
