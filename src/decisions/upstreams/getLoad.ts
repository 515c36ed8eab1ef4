import type * as views from './UpstreamView.js';

/** Time in milliseconds after which a report counts for nothing. */
const REPORT_TERM_MS = 3000;

/** Time in milliseconds over which a cold upstream gets its full load. */
const WARMING_MS = 4000;

/** The fraction of its slots that a cold upstream gets at first. */
const COLD_FRACTION = 0.3;

/** Gets the estimated number of requests at an upstream, for everyone. */
export function getBusyCount(view: views.UpstreamView, nowMs: number): number {
  if (view.report === undefined) return view.ownInFlightCount;
  const ageMs = nowMs - view.report.askedAtMs;
  const weight = Math.max(0, 1 - ageMs / REPORT_TERM_MS);
  const othersCount = Math.max(
    0,
    view.report.busyCount - view.report.ownInFlightCount,
  );
  return view.ownInFlightCount + othersCount * weight;
}

/** Gets the slots that an upstream may fill now, less than all while it warms. */
export function getUsableSlots(
  view: views.UpstreamView,
  nowMs: number,
): number {
  const elapsedMs = nowMs - view.warmingSinceMs;
  const warmth = Math.min(1, Math.max(0, elapsedMs / WARMING_MS));
  const fraction = COLD_FRACTION + (1 - COLD_FRACTION) * warmth;
  return Math.max(1, view.slotCount * fraction);
}

/** Gets the fraction of an upstream's usable slots that is taken; above 1 requests queue. */
export function getUtilisation(
  view: views.UpstreamView,
  nowMs: number,
): number {
  return getBusyCount(view, nowMs) / getUsableSlots(view, nowMs);
}
