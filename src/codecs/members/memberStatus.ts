import * as jsonRpc from 'json-rpc-2.0';
import * as zod from 'zod';
import type * as entry from '../../model/entry/index.js';
import * as schemas from '../schemas/index.js';

const METHOD = 'status';

/** Demands are rounded to a tenth, which is well below what they decide. */
const DEMAND_SCALE = 10;

/** Busy slots, those of requests that may run in some regions only by region. */
const demandsSchema = zod.array(
  zod.tuple([
    zod.string(),
    zod.number().min(0),
    zod.record(zod.string(), zod.number().min(0)).optional(),
  ]),
);

/** The digest, whether the counts are complete, counts, those that leave, and tenths of demands. */
const limitUsesSchema = zod.tuple([
  zod.number(),
  zod.boolean(),
  zod.array(zod.number().min(0)),
  zod.array(zod.number().min(0)),
  zod.array(zod.number().min(0)),
]);

/** Short names, as every VM sends this to every other each second. */
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
  q: limitUsesSchema.optional(),
  s: demandsSchema.optional(),
});

const datagramSchema = zod.object({
  method: zod.literal(METHOD),
  params: statusSchema,
});

/** Gets the datagram in which a VM tells its peers of itself. */
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
    q: encodeLimitUses(status.limitUses),
    s: status.serviceDemands.map(encodeServiceDemand),
  };
  return Buffer.from(
    JSON.stringify({jsonrpc: jsonRpc.JSONRPC, method: METHOD, params}),
  );
}

/** Gets a VM's status. @throws BramleyrunError of kind invalidPeerMessage. */
export function decodeMemberStatus(bytes: Uint8Array): entry.MemberStatus {
  const {params} = schemas.parseJsonOrThrow(
    datagramSchema,
    Buffer.from(bytes).toString('utf8'),
    'invalidPeerMessage',
  );
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
    limitUses: decodeLimitUses(params.q),
    serviceDemands: (params.s ?? []).map(([serviceId, busySlots, bound]) => ({
      serviceId,
      busySlots,
      boundSlots: new Map(Object.entries(bound ?? {})),
    })),
  };
}

function encodeServiceDemand(
  demand: entry.ServiceDemand,
): zod.infer<typeof demandsSchema>[number] {
  const {serviceId, busySlots} = demand;
  const bound = [...demand.boundSlots]
    .map(([region, slots]) => [region, round(slots)] as const)
    .filter(([, slots]) => slots > 0);
  return bound.length === 0
    ? [serviceId, round(busySlots)]
    : [serviceId, round(busySlots), Object.fromEntries(bound)];
}

function encodeLimitUses(
  limitUses: entry.LimitUses | undefined,
): zod.infer<typeof limitUsesSchema> | undefined {
  if (limitUses === undefined) return undefined;
  const {organisationsDigest, isComplete, uses} = limitUses;
  return [
    organisationsDigest,
    isComplete,
    uses.map(use => use.admittedCount),
    uses.map(use => use.leavingCount),
    uses.map(use => Math.round(use.demandPerSecond * DEMAND_SCALE)),
  ];
}

function decodeLimitUses(
  decoded: zod.infer<typeof limitUsesSchema> | undefined,
): entry.LimitUses | undefined {
  if (decoded === undefined) return undefined;
  const [organisationsDigest, isComplete, counts, leaving, demands] = decoded;
  return {
    organisationsDigest,
    isComplete,
    uses: counts.map((admittedCount, index) => ({
      admittedCount,
      leavingCount: leaving[index] ?? 0,
      demandPerSecond: (demands[index] ?? 0) / DEMAND_SCALE,
    })),
  };
}

function round(value: number): number {
  return Math.round(value * DEMAND_SCALE) / DEMAND_SCALE;
}
