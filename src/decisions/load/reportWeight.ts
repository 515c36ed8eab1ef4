/** Age up to which a load report counts in full. */
const REPORT_FULL_WEIGHT_MS = 400;

/** Age from which a load report is ignored; between the two ages its weight falls linearly. */
const REPORT_EXPIRY_MS = 3000;

/** Gets the weight of a load report by its age in milliseconds, from 1 for a recent one to 0 for an expired one. */
export function getReportWeight(ageMs: number): number {
  return Math.min(
    1,
    Math.max(
      0,
      (REPORT_EXPIRY_MS - ageMs) / (REPORT_EXPIRY_MS - REPORT_FULL_WEIGHT_MS),
    ),
  );
}
