/** How many requests were offered and placed lately; the counts decay. */
export interface ServedShare {
  readonly offeredCount: number;
  readonly placedCount: number;
  readonly countedAtMs: number;
}

/** The half-life in milliseconds of the counts: twice the length of a burst. */
const HALF_LIFE_MS = 10_000;

/**
 * The part of all requests' share of placed ones below which a kind counts as starved. Each kind must be served at
 * least a quarter as often as all; the rest is a margin for the delay with which the counts follow.
 */
const STARVED_RATIO = 0.4;

/**
 * The number of offered requests from which a share is judged. Small organisations offer one VM a few requests within the
 * half-life, of which one refused would make them starved and let their next request pass more urgent ones.
 */
const MIN_OFFERED_COUNT = 8;

/** How many times as often as all requests those of one sender may be refused. */
const MAX_REFUSED_RATIO = 2;

/** Returns the share after a further request at the monotonic time `nowMs`. */
export function addOffered(
  share: ServedShare | undefined,
  isPlaced: boolean,
  nowMs: number,
): ServedShare {
  const {offeredCount, placedCount} = decayUntil(share, nowMs);
  return {
    offeredCount: offeredCount + 1,
    placedCount: placedCount + (isPlaced ? 1 : 0),
    countedAtMs: nowMs,
  };
}

/** Whether a kind of request has been placed so much less often than all that it needs to be preferred. */
export function isStarved(
  kind: ServedShare | undefined,
  all: ServedShare | undefined,
): boolean {
  if (all === undefined || !isJudged(kind)) return false;
  return getPart(kind) < STARVED_RATIO * getPart(all);
}

/** Whether a sender's requests have been refused more than twice as often as all. */
export function isRefusedTooOften(
  sender: ServedShare | undefined,
  all: ServedShare | undefined,
): boolean {
  if (all === undefined || !isJudged(sender)) return false;
  return 1 - getPart(sender) > MAX_REFUSED_RATIO * (1 - getPart(all));
}

function isJudged(share: ServedShare | undefined): share is ServedShare {
  return share !== undefined && share.offeredCount >= MIN_OFFERED_COUNT;
}

/** Gets the part of the offered requests that was placed. */
function getPart({offeredCount, placedCount}: ServedShare): number {
  return offeredCount > 0 ? placedCount / offeredCount : 1;
}

function decayUntil(
  share: ServedShare | undefined,
  nowMs: number,
): Pick<ServedShare, 'offeredCount' | 'placedCount'> {
  if (share === undefined) return {offeredCount: 0, placedCount: 0};
  const weight = 0.5 ** ((nowMs - share.countedAtMs) / HALF_LIFE_MS);
  return {
    offeredCount: share.offeredCount * weight,
    placedCount: share.placedCount * weight,
  };
}
