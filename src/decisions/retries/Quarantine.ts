/** Upstreams that broke off while they ran a request. */
export interface Suspicion {
  /** The SHA-256 digest of the request, in hexadecimal. */
  readonly requestDigestHex: string;

  readonly upstreamIds: readonly string[];

  /** Wall-clock time in milliseconds until which the suspicion is kept. */
  readonly untilMs: number;
}

/** The suspicions of one process; the digest finds each. */
export type Quarantine = ReadonlyMap<string, Suspicion>;

/** Upstreams that a request may break before it is refused. */
const MAX_BROKEN_UPSTREAMS = 2;

/** How long in milliseconds a suspicion is kept after the last break. */
const SUSPICION_MS = 600_000;

/** The quarantine of a new process. */
export const EMPTY_QUARANTINE: Quarantine = new Map();

/** Notes that an upstream broke off while it ran a request. */
export function addBreak(
  quarantine: Quarantine,
  requestDigestHex: string,
  upstreamId: string,
  nowMs: number,
): Quarantine {
  const known = quarantine.get(requestDigestHex)?.upstreamIds ?? [];
  const upstreamIds = known.includes(upstreamId)
    ? known
    : [...known, upstreamId];
  const untilMs = nowMs + SUSPICION_MS;
  const next = new Map(
    [...quarantine].filter(entry => entry[1].untilMs > nowMs),
  );
  return next.set(requestDigestHex, {requestDigestHex, upstreamIds, untilMs});
}

/** Notes that a request ran to its end, so that it does not break upstreams. */
export function removeSuspicion(
  quarantine: Quarantine,
  requestDigestHex: string,
): Quarantine {
  if (!quarantine.has(requestDigestHex)) return quarantine;
  return new Map(
    [...quarantine].filter(entry => entry[0] !== requestDigestHex),
  );
}

/** Whether a request has broken too many upstreams to be sent to one more. */
export function isQuarantined(
  quarantine: Quarantine,
  requestDigestHex: string,
  nowMs: number,
): boolean {
  const suspicion = quarantine.get(requestDigestHex);
  if (suspicion === undefined || suspicion.untilMs <= nowMs) return false;
  return suspicion.upstreamIds.length >= MAX_BROKEN_UPSTREAMS;
}
