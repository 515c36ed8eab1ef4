import * as zod from 'zod';
import type * as entry from '../../model/entry/index.js';

/** Demands are rounded to tenths, a step too small to affect the decisions based on them. */
export const DEMAND_STEPS_PER_UNIT = 10;

/** The largest number of organisations that a status may claim to cover. */
const MAX_ORGANISATIONS = 100_000;

/** The numbers that a report holds for each organisation with any use. */
const VALUES_PER_USE = 4;

const NO_USE: entry.LimitUse = {
  demandPerSecond: 0,
  admittedCount: 0,
  leavingCount: 0,
};

/**
 * For each service: its identifier, the slots occupied by requests that may run in any region, and, keyed by
 * region, the slots occupied by requests that are restricted to certain regions.
 */
export const serviceDemandsSchema = zod.array(
  zod.tuple([
    zod.string(),
    zod.number().min(0),
    zod.record(zod.string(), zod.number().min(0)).optional(),
  ]),
);

/**
 * The digest of the organisations' identifiers, whether the counts cover a full window, and the number of
 * organisations; then, for each organisation that has any use, its index, the admitted requests, those that fall out of
 * the window next, and the demand in tenths of a request per second. Most organisations have no use on most VMs.
 */
export const sparseLimitUseReportSchema = zod.tuple([
  zod.number(),
  zod.boolean(),
  zod.int().min(0).max(MAX_ORGANISATIONS),
  zod.custom<readonly number[]>(areCounts, 'must be numbers of at least 0'),
]);

/**
 * Whether a value is an array of numbers that are not negative. In a large fleet a VM receives ten thousand of these a
 * second, for which a schema of each number took a tenth of its processor time.
 */
function areCounts(value: unknown): boolean {
  if (!Array.isArray(value)) return false;
  for (const item of value as readonly unknown[])
    if (typeof item !== 'number' || !(item >= 0)) return false;
  return true;
}

/** Encodes one service's demand. */
export function encodeServiceDemand(
  demand: entry.ServiceDemand,
): zod.infer<typeof serviceDemandsSchema>[number] {
  const {serviceId, busySlots} = demand;
  const regionBoundSlots = [...demand.boundSlots]
    .map(([region, slots]) => [region, roundDemand(slots)] as const)
    .filter(([, slots]) => slots > 0);
  return regionBoundSlots.length === 0
    ? [serviceId, roundDemand(busySlots)]
    : [serviceId, roundDemand(busySlots), Object.fromEntries(regionBoundSlots)];
}

/** Decodes one service's demand. */
export function decodeServiceDemand([
  serviceId,
  busySlots,
  regionBoundSlots,
]: zod.infer<typeof serviceDemandsSchema>[number]): entry.ServiceDemand {
  return {
    serviceId,
    busySlots,
    boundSlots: new Map(Object.entries(regionBoundSlots ?? {})),
  };
}

/** Encodes a report with the organisations that have any use. */
export function encodeLimitUseReport(
  report: entry.LimitUseReport,
): zod.infer<typeof sparseLimitUseReportSchema> {
  const {organisationsDigest, isComplete, uses} = report;
  const values: number[] = [];
  for (const [index, use] of uses.entries()) {
    const {admittedCount, leavingCount} = use;
    const demand = Math.round(use.demandPerSecond * DEMAND_STEPS_PER_UNIT);
    if (admittedCount === 0 && leavingCount === 0 && demand === 0) continue;
    values.push(index, admittedCount, leavingCount, demand);
  }
  return [organisationsDigest, isComplete, uses.length, values];
}

/** Decodes a report; organisations that it leaves out have no use. */
export function decodeSparseLimitUseReport(
  encoded: zod.infer<typeof sparseLimitUseReportSchema>,
): entry.LimitUseReport {
  const [organisationsDigest, isComplete, organisationCount, values] = encoded;
  const uses: entry.LimitUse[] =
    Array<entry.LimitUse>(organisationCount).fill(NO_USE);
  for (let at = 0; at + VALUES_PER_USE <= values.length; at += VALUES_PER_USE) {
    const index = values[at];
    if (index < organisationCount)
      uses[index] = {
        admittedCount: values[at + 1],
        leavingCount: values[at + 2],
        demandPerSecond: values[at + 3] / DEMAND_STEPS_PER_UNIT,
      };
  }
  return {organisationsDigest, isComplete, uses};
}

function roundDemand(value: number): number {
  return Math.round(value * DEMAND_STEPS_PER_UNIT) / DEMAND_STEPS_PER_UNIT;
}
