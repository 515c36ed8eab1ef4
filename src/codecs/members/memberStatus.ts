import * as jsonRpc from 'json-rpc-2.0';
import * as zod from 'zod';
import type * as entry from '../../model/entry/index.js';
import * as schemas from '../schemas/index.js';
import * as addresses from './socketAddress.js';

const STATUS_METHOD = 'status';

/** A method of its own: daemons of earlier versions reject statuses with unknown fields. */
const LEAVING_METHOD = 'upstreamLeaving';

/** Demands are rounded to tenths, a step too small to affect the decisions based on them. */
const DEMAND_STEPS_PER_UNIT = 10;

/**
 * For each service: its identifier, the slots occupied by requests that may run in any region, and, keyed by
 * region, the slots occupied by requests that are restricted to certain regions.
 */
const serviceDemandsSchema = zod.array(
  zod.tuple([
    zod.string(),
    zod.number().min(0),
    zod.record(zod.string(), zod.number().min(0)).optional(),
  ]),
);

/**
 * The digest of the organisations' identifiers; whether the counts cover a full window; then, for each
 * organisation, the admitted requests, those that fall out of the window next, and the demand in tenths of a
 * request per second.
 */
const limitUseReportSchema = zod.tuple([
  zod.number(),
  zod.boolean(),
  zod.array(zod.number().min(0)),
  zod.array(zod.number().min(0)),
  zod.array(zod.number().min(0)),
]);

/** The field names are short because every VM sends its status to every other VM each second. */
const statusSchema = zod.strictObject({
  v: zod.string(),
  p: zod.string(),
  r: zod.string(),
  d: zod.string(),
  c: zod.string(),
  a: zod.string(),
  l: zod.boolean().optional(),
  o: zod.int().min(0),
  u: zod.int().min(0),
  q: limitUseReportSchema.optional(),
  s: serviceDemandsSchema.optional(),
});

/** The identifier, the address and the start time of an upstream that leaves. */
const upstreamLeavingSchema = zod.strictObject({
  i: zod.string(),
  a: zod.string(),
  b: zod.int().min(0),
});

const datagramSchema = zod.discriminatedUnion('method', [
  zod.object({method: zod.literal(STATUS_METHOD), params: statusSchema}),
  zod.object({
    method: zod.literal(LEAVING_METHOD),
    params: upstreamLeavingSchema,
  }),
]);

/** The content of a datagram from a peer. */
export type MemberDatagram =
  | {readonly kind: 'status'; readonly status: entry.MemberStatus}
  | {readonly kind: 'upstreamLeaving'; readonly start: entry.UpstreamStart};

/** Encodes a VM's status as a UDP datagram for its peers. */
export function encodeMemberStatus(status: entry.MemberStatus): Uint8Array {
  const {member} = status;
  const params: zod.infer<typeof statusSchema> = {
    v: member.vmId,
    p: member.processId,
    r: member.region,
    d: member.failureDomain,
    c: member.callersAddress,
    a: member.peersAddress,
    ...(status.isLeaving ? {l: true} : {}),
    o: status.operatorRowsVersion,
    u: status.upstreamRowsVersion,
    q: encodeLimitUseReport(status.limitUseReport),
    s: status.serviceDemands.map(encodeServiceDemand),
  };
  return encodeDatagram(STATUS_METHOD, params);
}

/** Encodes as a UDP datagram for peers that an upstream leaves. */
export function encodeUpstreamLeaving(start: entry.UpstreamStart): Uint8Array {
  const params: zod.infer<typeof upstreamLeavingSchema> = {
    i: start.upstreamId,
    a: addresses.formatSocketAddress(start),
    b: start.startedAtMs,
  };
  return encodeDatagram(LEAVING_METHOD, params);
}

/** Decodes a datagram from a peer. @throws BramleyrunError of kind invalidPeerMessage. */
export function decodeMemberDatagram(bytes: Uint8Array): MemberDatagram {
  const datagram = schemas.parseJsonOrThrow(
    datagramSchema,
    Buffer.from(bytes).toString('utf8'),
    'invalidPeerMessage',
  );
  switch (datagram.method) {
    case STATUS_METHOD:
      return {kind: 'status', status: decodeStatus(datagram.params)};
    case LEAVING_METHOD:
      return {kind: 'upstreamLeaving', start: decodeStart(datagram.params)};
  }
}

function encodeDatagram(method: string, params: object): Uint8Array {
  return Buffer.from(
    JSON.stringify({jsonrpc: jsonRpc.JSONRPC, method, params}),
  );
}

function decodeStart(
  params: zod.infer<typeof upstreamLeavingSchema>,
): entry.UpstreamStart {
  const {host, port} = addresses.parseSocketAddress(params.a);
  return {upstreamId: params.i, host, port, startedAtMs: params.b};
}

function decodeStatus(
  params: zod.infer<typeof statusSchema>,
): entry.MemberStatus {
  return {
    member: {
      vmId: params.v,
      processId: params.p,
      region: params.r,
      failureDomain: params.d,
      callersAddress: params.c,
      peersAddress: params.a,
    },
    isLeaving: params.l ?? false,
    operatorRowsVersion: params.o,
    upstreamRowsVersion: params.u,
    limitUseReport: decodeLimitUseReport(params.q),
    serviceDemands: (params.s ?? []).map(
      ([serviceId, busySlots, regionBoundSlots]) => ({
        serviceId,
        busySlots,
        boundSlots: new Map(Object.entries(regionBoundSlots ?? {})),
      }),
    ),
  };
}

function encodeServiceDemand(
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

function encodeLimitUseReport(
  report: entry.LimitUseReport | undefined,
): zod.infer<typeof limitUseReportSchema> | undefined {
  if (report === undefined) return undefined;
  const {organisationsDigest, isComplete, uses} = report;
  return [
    organisationsDigest,
    isComplete,
    uses.map(use => use.admittedCount),
    uses.map(use => use.leavingCount),
    uses.map(use => Math.round(use.demandPerSecond * DEMAND_STEPS_PER_UNIT)),
  ];
}

function decodeLimitUseReport(
  encoded: zod.infer<typeof limitUseReportSchema> | undefined,
): entry.LimitUseReport | undefined {
  if (encoded === undefined) return undefined;
  const [organisationsDigest, isComplete, admittedCounts, leaving, demands] =
    encoded;
  return {
    organisationsDigest,
    isComplete,
    uses: admittedCounts.map((admittedCount, index) => ({
      admittedCount,
      leavingCount: leaving[index] ?? 0,
      demandPerSecond: (demands[index] ?? 0) / DEMAND_STEPS_PER_UNIT,
    })),
  };
}

function roundDemand(value: number): number {
  return Math.round(value * DEMAND_STEPS_PER_UNIT) / DEMAND_STEPS_PER_UNIT;
}
