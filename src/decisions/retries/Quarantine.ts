/** A request during which the connections to some upstreams broke, which may mean that it crashes upstreams. */
export interface SuspectRequest {
  /** The SHA-256 digest of the request, in hexadecimal. */
  readonly requestDigestHex: string;

  /** The upstreams whose connection broke while they were running the request. */
  readonly upstreamIds: readonly string[];

  /** Wall-clock time in milliseconds at which this record expires. */
  readonly expiresAtMs: number;
}

/** The suspect requests that one process has recorded, by request digest. */
export type Quarantine = ReadonlyMap<string, SuspectRequest>;

/** The number of upstreams whose connection may break during a request before the request is refused. */
const MAX_FAILED_UPSTREAMS = 2;

/** How long in milliseconds a suspect request is recorded after the last broken connection. */
const SUSPECT_EXPIRY_MS = 600_000;

/** The quarantine of a new process. */
export const EMPTY_QUARANTINE: Quarantine = new Map();

/** Records that the connection to an upstream broke while it was running a request, and removes expired records. */
export function recordBrokenConnection(
  quarantine: Quarantine,
  requestDigestHex: string,
  upstreamId: string,
  nowMs: number,
): Quarantine {
  const recordedIds = quarantine.get(requestDigestHex)?.upstreamIds ?? [];
  const upstreamIds = recordedIds.includes(upstreamId)
    ? recordedIds
    : [...recordedIds, upstreamId];
  const expiresAtMs = nowMs + SUSPECT_EXPIRY_MS;
  const unexpired = new Map(
    [...quarantine].filter(entry => entry[1].expiresAtMs > nowMs),
  );
  return unexpired.set(requestDigestHex, {
    requestDigestHex,
    upstreamIds,
    expiresAtMs,
  });
}

/** Removes the record of a request that ran to completion and therefore does not crash upstreams. */
export function clearSuspectRequest(
  quarantine: Quarantine,
  requestDigestHex: string,
): Quarantine {
  if (!quarantine.has(requestDigestHex)) return quarantine;
  return new Map(
    [...quarantine].filter(entry => entry[0] !== requestDigestHex),
  );
}

/** Whether a request must not be sent to any more upstreams, because the connections to too many of them broke. */
export function isQuarantined(
  quarantine: Quarantine,
  requestDigestHex: string,
  nowMs: number,
): boolean {
  const suspect = quarantine.get(requestDigestHex);
  if (suspect === undefined || suspect.expiresAtMs <= nowMs) return false;
  return suspect.upstreamIds.length >= MAX_FAILED_UPSTREAMS;
}
