/** A request that was running at an upstream when the upstream crashed, and that may be the cause. */
export interface SuspectRequest {
  /** The SHA-256 digest of the request, in hexadecimal. */
  readonly requestDigestHex: string;

  /** How often answers have cleared the request; crashes of an earlier generation no longer count. */
  readonly generation: number;

  /** The number of crashes in a row: each by an attempt that was sent after the previous crash was known. */
  readonly crashCount: number;

  /** Upstreams that crashed in this generation, also those that crashed side by side. */
  readonly upstreamIds: readonly string[];

  /** Monotonic time in milliseconds from which a quarantined request may be sent once more, as a trial. */
  readonly nextTrialAtMs: number;

  /** Monotonic time in milliseconds at which this record expires. */
  readonly expiresAtMs: number;
}

/** The suspect requests that one process knows, by request digest. */
export type Quarantine = ReadonlyMap<string, SuspectRequest>;

/** What was known of a request when an attempt to send it began. */
export type AttemptMark = Pick<SuspectRequest, 'generation' | 'crashCount'>;

/** Whether an attempt to send a request may begin. */
export type QuarantineAdmission =
  | {readonly kind: 'admitted'; readonly mark: AttemptMark}
  /** The quarantined request is sent once more, since the crashes may have had another cause. */
  | {readonly kind: 'trial'; readonly mark: AttemptMark}
  | {readonly kind: 'quarantined'; readonly crashCount: number};

/** The number of crashes in a row from which a request is quarantined. */
const MAX_CRASHES = 2;

/**
 * How many more upstreams must have crashed side by side than in a row to weigh as much. Slow upstreams crash long after
 * the request was sent, when many more attempts are under way.
 */
const SIDE_BY_SIDE_ALLOWANCE = 2;

/** The largest number of upstreams that are recorded for a request. */
const MAX_RECORDED_UPSTREAMS = 8;

/** How long in milliseconds a suspect request is recorded after its last crash. */
export const SUSPECT_EXPIRY_MS = 600_000;

/** The time from a crash to the first trial of a quarantined request; each further crash multiplies it. */
const FIRST_TRIAL_DELAY_MS = 3000;
const TRIAL_DELAY_FACTOR = 10;
const MAX_TRIAL_DELAY_MS = 300_000;

/** The shortest time between two trials, within which the outcome of the first one is normally known. */
const MIN_TRIAL_INTERVAL_MS = 10_000;

/** The largest number of recorded requests. */
export const MAX_SUSPECTS = 1024;

/** The quarantine of a new process. */
export const EMPTY_QUARANTINE: Quarantine = new Map();

/** The mark of a request of which nothing is known. */
export const UNSUSPECTED: AttemptMark = {generation: 0, crashCount: 0};

/** Decides whether an attempt to send a request may begin at the monotonic time `nowMs`, in milliseconds. */
export function decideAttempt(
  quarantine: Quarantine,
  requestDigestHex: string,
  nowMs: number,
): QuarantineAdmission {
  const suspect = quarantine.get(requestDigestHex);
  if (suspect === undefined || suspect.expiresAtMs <= nowMs)
    return {kind: 'admitted', mark: UNSUSPECTED};
  const {generation, crashCount} = suspect;
  const mark: AttemptMark = {generation, crashCount};
  if (!isQuarantined(suspect)) return {kind: 'admitted', mark};
  return nowMs >= suspect.nextTrialAtMs
    ? {kind: 'trial', mark}
    : {kind: 'quarantined', crashCount};
}

/** Gets the suspect after a trial of it began: the next one has to wait. */
export function applyTrial(
  suspect: SuspectRequest,
  nowMs: number,
): SuspectRequest {
  const delayMs = Math.max(MIN_TRIAL_INTERVAL_MS, getTrialDelayMs(suspect));
  return {...suspect, nextTrialAtMs: nowMs + delayMs};
}

/**
 * Gets the suspect after an upstream crashed that was running it. Attempts that were sent side by side count as one in a
 * row, as upstreams that crash together take the same requests with them.
 *
 * @param suspect What is known of the request now; undefined for nothing.
 * @param mark What was known of it when the attempt began.
 */
export function applyCrash(
  suspect: SuspectRequest | undefined,
  requestDigestHex: string,
  mark: AttemptMark,
  upstreamId: string,
  nowMs: number,
): SuspectRequest {
  const generation = Math.max(suspect?.generation ?? 0, mark.generation);
  const known = suspect?.generation === generation ? suspect : undefined;
  const isCurrent = mark.generation === generation;
  const crashed: SuspectRequest = {
    requestDigestHex,
    generation,
    crashCount: Math.max(
      known?.crashCount ?? 0,
      isCurrent ? mark.crashCount + 1 : 0,
    ),
    upstreamIds: unite(known?.upstreamIds ?? [], isCurrent ? [upstreamId] : []),
    nextTrialAtMs: nowMs,
    expiresAtMs: nowMs + SUSPECT_EXPIRY_MS,
  };
  return {...crashed, nextTrialAtMs: nowMs + getTrialDelayMs(crashed)};
}

/** Gets the suspect after an upstream answered the request, which therefore does not crash upstreams. */
export function applyAnswer(suspect: SuspectRequest): SuspectRequest {
  if (suspect.crashCount === 0) return suspect;
  return {
    ...suspect,
    generation: suspect.generation + 1,
    crashCount: 0,
    upstreamIds: [],
    nextTrialAtMs: -Infinity,
  };
}

/** Merges what two processes know of a request: the newer generation, and within one the higher count. */
export function mergeSuspects(
  own: SuspectRequest | undefined,
  other: SuspectRequest,
): SuspectRequest {
  if (own === undefined || other.generation > own.generation) return other;
  if (other.generation < own.generation) return own;
  return {
    ...own,
    crashCount: Math.max(own.crashCount, other.crashCount),
    upstreamIds: unite(own.upstreamIds, other.upstreamIds),
    nextTrialAtMs: Math.max(own.nextTrialAtMs, other.nextTrialAtMs),
    expiresAtMs: Math.max(own.expiresAtMs, other.expiresAtMs),
  };
}

/** Whether a suspect says more of a request than what is known: a newer generation, or more crashes in it. */
export function isNewer(
  known: SuspectRequest | undefined,
  suspect: SuspectRequest,
): boolean {
  if (known === undefined) return suspect.crashCount > 0;
  if (suspect.generation !== known.generation)
    return suspect.generation > known.generation;
  return (
    suspect.crashCount > known.crashCount ||
    suspect.upstreamIds.length > known.upstreamIds.length
  );
}

/** Records suspects, and removes expired ones; beyond MAX_SUSPECTS, those with the fewest crashes go first. */
export function recordSuspects(
  quarantine: Quarantine,
  suspects: readonly SuspectRequest[],
  nowMs: number,
): Quarantine {
  const recorded = new Map(quarantine);
  for (const suspect of suspects)
    recorded.set(suspect.requestDigestHex, suspect);
  for (const [requestDigestHex, {expiresAtMs}] of recorded)
    if (expiresAtMs <= nowMs) recorded.delete(requestDigestHex);
  if (recorded.size <= MAX_SUSPECTS) return recorded;
  return new Map(
    [...recorded]
      .sort(([, a], [, b]) => compareImportance(b, a))
      .slice(0, MAX_SUSPECTS),
  );
}

/** Chooses which suspects a process reports to a peer: those with the most crashes, then the latest ones. */
export function chooseReportedSuspects(
  quarantine: Quarantine,
  maxCount: number,
): readonly SuspectRequest[] {
  return [...quarantine.values()]
    .sort((a, b) => compareImportance(b, a))
    .slice(0, maxCount);
}

/** Whether a suspect is quarantined: it is sent only as a trial. */
export function isQuarantined(suspect: SuspectRequest): boolean {
  return getSeverity(suspect) >= MAX_CRASHES;
}

function compareImportance(a: SuspectRequest, b: SuspectRequest): number {
  return getSeverity(a) - getSeverity(b) || a.expiresAtMs - b.expiresAtMs;
}

/** Gets the number of crashes in a row, or what those side by side weigh if that is more. */
function getSeverity({crashCount, upstreamIds}: SuspectRequest): number {
  return Math.max(crashCount, upstreamIds.length - SIDE_BY_SIDE_ALLOWANCE);
}

/** Unites two lists of upstreams; the result does not depend on their order. */
function unite(a: readonly string[], b: readonly string[]): readonly string[] {
  return [...new Set([...a, ...b])].sort().slice(0, MAX_RECORDED_UPSTREAMS);
}

function getTrialDelayMs(suspect: SuspectRequest): number {
  const trialCount = Math.max(0, getSeverity(suspect) - MAX_CRASHES);
  return Math.min(
    MAX_TRIAL_DELAY_MS,
    FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR ** trialCount,
  );
}
