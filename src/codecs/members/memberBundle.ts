import * as zod from 'zod';
import type * as entry from '../../model/entry/index.js';
import * as reports from './limitUseReports.js';
import * as positions from './storePosition.js';

const MS_PER_TENTH = 100;

/** For each VM: its id, process, failure domain, callers' and peers' address, versions, age in tenths, and whether it leaves. */
const heardSchema = zod.tuple([
  zod.string(),
  zod.string(),
  zod.string(),
  zod.string(),
  zod.string(),
  zod.int().min(0),
  zod.int().min(0),
  zod.number().min(0),
  zod.boolean(),
  /** Processors, link, memory, and whether the VM is busy. */
  zod
    .tuple([
      zod.number().positive(),
      zod.number().positive(),
      zod.number().positive(),
      zod.boolean(),
    ])
    .nullable(),
]);

/** The schema of a bundle: the collector, then for each region its VMs, the sums of uses, and the sums of demands. */
export const bundleSchema = zod.object({
  v: zod.string(),
  r: zod.array(
    zod.object({
      n: zod.string(),
      h: zod.array(heardSchema),
      /** The timelines of the versions in `h`, in its order; absent where the store names none. */
      t: zod.array(positions.timelinesSchema).optional(),
      w: zod.array(
        zod.tuple([reports.sparseLimitUseReportSchema, zod.int().min(1)]),
      ),
      s: reports.serviceDemandsSchema,
    }),
  ),
});

/** Encodes a bundle as the parameters of a datagram. */
export function encodeBundleParams(
  bundle: entry.MemberBundle,
): zod.infer<typeof bundleSchema> {
  return {
    v: bundle.collectorId,
    r: bundle.regions.map(part => ({
      n: part.region,
      h: part.heard.map(encodeHeard),
      ...encodePartTimelines(part.heard),
      w: part.limitUseReports.map(report => [
        reports.encodeLimitUseReport(report),
        report.vmCount ?? 1,
      ]),
      s: part.serviceDemands.map(reports.encodeServiceDemand),
    })),
  };
}

/** Decodes a bundle from the parameters of a datagram. */
export function decodeBundleParams(
  params: zod.infer<typeof bundleSchema>,
): entry.MemberBundle {
  return {
    collectorId: params.v,
    regions: params.r.map(part => ({
      region: part.n,
      heard: part.h.map((encoded, index) =>
        decodeHeard(encoded, part.n, part.t?.[index]),
      ),
      limitUseReports: part.w.map(([report, vmCount]) => ({
        ...reports.decodeSparseLimitUseReport(report),
        vmCount,
      })),
      serviceDemands: part.s.map(reports.decodeServiceDemand),
    })),
  };
}

function encodePartTimelines(heard: readonly entry.HeardMember[]): {
  readonly t?: positions.EncodedTimelines[];
} {
  const timelines = heard.map(positions.encodeTimelines);
  if (timelines.every(encoded => encoded === undefined)) return {};
  return {t: timelines.map(encoded => encoded ?? [null, null])};
}

function encodeHeard(vm: entry.HeardMember): zod.infer<typeof heardSchema> {
  const {member} = vm;
  const {capacity} = member;
  return [
    member.vmId,
    member.processId,
    member.failureDomain,
    member.callersAddress,
    member.peersAddress,
    vm.operatorRowsPosition.version,
    vm.upstreamRowsPosition.version,
    Math.ceil(vm.ageMs / MS_PER_TENTH),
    vm.isLeaving,
    capacity === undefined
      ? null
      : [
          capacity.processorCount,
          capacity.linkMbps,
          capacity.memoryMb,
          capacity.isBusy,
        ],
  ];
}

function decodeHeard(
  encoded: zod.infer<typeof heardSchema>,
  region: string,
  timelines: positions.EncodedTimelines | undefined,
): entry.HeardMember {
  const [
    vmId,
    processId,
    failureDomain,
    callersAddress,
    peersAddress,
    operatorVersion,
    upstreamVersion,
    ageTenths,
    isLeaving,
    capacity,
  ] = encoded;
  return {
    member: {
      vmId,
      processId,
      region,
      failureDomain,
      callersAddress,
      peersAddress,
      ...(capacity === null ? {} : {capacity: decodeCapacity(capacity)}),
    },
    isLeaving,
    ...positions.decodePositions(operatorVersion, upstreamVersion, timelines),
    ageMs: ageTenths * MS_PER_TENTH,
  };
}

function decodeCapacity([processorCount, linkMbps, memoryMb, isBusy]: readonly [
  number,
  number,
  number,
  boolean,
]): entry.MemberCapacity {
  return {processorCount, linkMbps, memoryMb, isBusy};
}
