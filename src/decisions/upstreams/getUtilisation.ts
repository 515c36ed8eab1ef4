import type * as views from './UpstreamView.js';

/** Age in milliseconds from which a load report is ignored. */
const REPORT_EXPIRY_MS = 3000;

/** Time in milliseconds within which the usable slots of an upstream that starts cold rise to all of its slots. */
const WARMUP_MS = 4000;

/** The fraction of an upstream's slots that is usable at the start of the warm-up. */
const INITIAL_SLOT_FRACTION = 0.3;

/**
 * Estimates the number of requests from all processes at an upstream. The reported requests of other processes count
 * less as the report becomes older.
 */
export function getBusyCount(view: views.UpstreamView, nowMs: number): number {
  if (view.report === undefined) return view.ownInFlightCount;
  const ageMs = nowMs - view.report.requestedAtMs;
  const weight = Math.max(0, 1 - ageMs / REPORT_EXPIRY_MS);
  const othersCount = Math.max(
    0,
    view.report.busyCount - view.report.ownInFlightCount,
  );
  return view.ownInFlightCount + othersCount * weight;
}

/** Gets the number of slots that may be occupied at the monotonic time `nowMs`; it is reduced during the warm-up. */
export function getUsableSlotCount(
  view: views.UpstreamView,
  nowMs: number,
): number {
  const elapsedMs = nowMs - view.warmupStartedAtMs;
  const warmupProgress = Math.min(1, Math.max(0, elapsedMs / WARMUP_MS));
  const fraction =
    INITIAL_SLOT_FRACTION + (1 - INITIAL_SLOT_FRACTION) * warmupProgress;
  return Math.max(1, view.slotCount * fraction);
}

/** Gets the ratio of requests to usable slots of an upstream; above 1, requests queue. */
export function getUtilisation(
  view: views.UpstreamView,
  nowMs: number,
): number {
  return getBusyCount(view, nowMs) / getUsableSlotCount(view, nowMs);
}
