import * as zlib from 'node:zlib';
import * as jsonRpc from 'json-rpc-2.0';
import * as zod from 'zod';
import type * as entry from '../../model/entry/index.js';
import type * as peers from '../../model/peers/index.js';
import * as schemas from '../schemas/index.js';
import * as bundles from './memberBundle.js';
import * as reports from './limitUseReports.js';
import * as addresses from './socketAddress.js';
import * as positions from './storePosition.js';

const STATUS_METHOD = 'status';

/** A method of its own: daemons of earlier versions reject statuses with unknown fields. */
const LEAVING_METHOD = 'upstreamLeaving';

const SUSPECTS_METHOD = 'suspects';

/** A method of its own, like `LEAVING_METHOD`; daemons of earlier versions log it as unreadable and go on. */
const CAPACITY_METHOD = 'capacity';

const BUNDLE_METHOD = 'bundle';

/** Compressed datagrams begin with this byte, which no JSON text begins with. */
const ZLIB_FIRST_BYTE = 0x78;

/** Shorter texts are sent as they are: compressing them saves less than each packet's headers take. */
const MIN_COMPRESSED_TEXT_BYTES = 128;

/** The largest size of a datagram's text, so that a faulty peer can't make this VM inflate without end. */
const MAX_DATAGRAM_BYTES = 1_000_000;

/**
 * The report as VMs of earlier versions send it: the digest of the organisations' identifiers; whether the counts cover a full window; then, for each
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
  w: reports.sparseLimitUseReportSchema.optional(),
  s: reports.serviceDemandsSchema.optional(),
});

/** The identifier, the address and the start time of an upstream that leaves. */
const upstreamLeavingSchema = zod.strictObject({
  i: zod.string(),
  a: zod.string(),
  b: zod.int().min(0),
});

/**
 * For each request: its digest, its generation, its crashes in a row, the times to its trial and its expiry, and the
 * upstreams that crashed.
 */
const suspectsSchema = zod.array(
  zod.tuple([
    zod.string(),
    zod.int().min(0),
    zod.int().min(0),
    zod.number().min(0),
    zod.number().min(0),
    zod.array(zod.string()),
  ]),
);

/** The VM, its process, its processors, link and memory, and whether it is busy. */
const capacitySchema = zod.object({
  v: zod.string(),
  p: zod.string(),
  c: zod.number().positive(),
  k: zod.number().positive(),
  m: zod.number().positive(),
  b: zod.boolean().optional(),
});

const datagramSchema = zod.discriminatedUnion('method', [
  zod.object({
    method: zod.literal(STATUS_METHOD),
    params: statusSchema,
    // Beside the parameters, since daemons of earlier versions reject statuses with unknown fields.
    t: positions.timelinesSchema.optional(),
  }),
  zod.object({
    method: zod.literal(LEAVING_METHOD),
    params: upstreamLeavingSchema,
  }),
  zod.object({method: zod.literal(SUSPECTS_METHOD), params: suspectsSchema}),
  zod.object({method: zod.literal(CAPACITY_METHOD), params: capacitySchema}),
  zod.object({
    method: zod.literal(BUNDLE_METHOD),
    params: bundles.bundleSchema,
  }),
]);

/** The content of a datagram from a peer. */
export type MemberDatagram =
  | {readonly kind: 'status'; readonly status: entry.MemberStatus}
  | {readonly kind: 'upstreamLeaving'; readonly start: entry.UpstreamStart}
  | {readonly kind: 'capacity'; readonly report: entry.CapacityReport}
  | {readonly kind: 'bundle'; readonly bundle: entry.MemberBundle}
  | {
      readonly kind: 'suspects';
      readonly suspects: readonly peers.SuspectReport[];
    };

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
    o: status.operatorRowsPosition.version,
    u: status.upstreamRowsPosition.version,
    w:
      status.limitUseReport === undefined
        ? undefined
        : reports.encodeLimitUseReport(status.limitUseReport),
    s: status.serviceDemands.map(reports.encodeServiceDemand),
  };
  return encodeDatagram(
    STATUS_METHOD,
    params,
    positions.encodeTimelines(status),
  );
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

/** Encodes suspect requests as a UDP datagram for peers. */
export function encodeSuspects(
  suspects: readonly peers.SuspectReport[],
): Uint8Array {
  const params: zod.infer<typeof suspectsSchema> = suspects.map(suspect => [
    suspect.requestDigestHex,
    suspect.generation,
    suspect.crashCount,
    Math.ceil(suspect.trialInMs),
    Math.ceil(suspect.expiresInMs),
    [...suspect.upstreamIds],
  ]);
  return encodeDatagram(SUSPECTS_METHOD, params);
}

/** Encodes a VM's resources and load as a UDP datagram for its peers. */
export function encodeCapacity(report: entry.CapacityReport): Uint8Array {
  const {vmId, processId, capacity} = report;
  const params: zod.infer<typeof capacitySchema> = {
    v: vmId,
    p: processId,
    c: capacity.processorCount,
    k: capacity.linkMbps,
    m: capacity.memoryMb,
    ...(capacity.isBusy ? {b: true} : {}),
  };
  return encodeDatagram(CAPACITY_METHOD, params);
}

/** Encodes a collector's bundle as a UDP datagram for the VMs of its region. */
export function encodeBundle(bundle: entry.MemberBundle): Uint8Array {
  return encodeDatagram(BUNDLE_METHOD, bundles.encodeBundleParams(bundle));
}

/** Decodes a datagram from a peer. @throws BramleyrunError of kind invalidPeerMessage. */
export function decodeMemberDatagram(bytes: Uint8Array): MemberDatagram {
  const datagram = schemas.parseJsonOrThrow(
    datagramSchema,
    getDatagramText(bytes),
    'invalidPeerMessage',
  );
  switch (datagram.method) {
    case STATUS_METHOD:
      return {
        kind: 'status',
        status: decodeStatus(datagram.params, datagram.t),
      };
    case LEAVING_METHOD:
      return {kind: 'upstreamLeaving', start: decodeStart(datagram.params)};
    case SUSPECTS_METHOD:
      return {
        kind: 'suspects',
        suspects: datagram.params.map(decodeSuspect),
      };
    case CAPACITY_METHOD:
      return {kind: 'capacity', report: decodeCapacity(datagram.params)};
    case BUNDLE_METHOD:
      return {
        kind: 'bundle',
        bundle: bundles.decodeBundleParams(datagram.params),
      };
  }
}

/** Encodes a datagram as JSON, or as compressed JSON where that is shorter. */
function encodeDatagram(
  method: string,
  params: object,
  timelines?: positions.EncodedTimelines,
): Uint8Array {
  const text = Buffer.from(
    JSON.stringify({jsonrpc: jsonRpc.JSONRPC, method, params, t: timelines}),
  );
  if (text.length < MIN_COMPRESSED_TEXT_BYTES) return text;
  const compressed = zlib.deflateSync(text);
  return compressed.length < text.length ? compressed : text;
}

function getDatagramText(bytes: Uint8Array): string {
  const isCompressed = bytes[0] === ZLIB_FIRST_BYTE;
  return (
    isCompressed
      ? zlib.inflateSync(bytes, {maxOutputLength: MAX_DATAGRAM_BYTES})
      : Buffer.from(bytes)
  ).toString('utf8');
}

function decodeCapacity(
  params: zod.infer<typeof capacitySchema>,
): entry.CapacityReport {
  return {
    vmId: params.v,
    processId: params.p,
    capacity: {
      processorCount: params.c,
      linkMbps: params.k,
      memoryMb: params.m,
      isBusy: params.b ?? false,
    },
  };
}

function decodeSuspect([
  requestDigestHex,
  generation,
  crashCount,
  trialInMs,
  expiresInMs,
  upstreamIds,
]: zod.infer<typeof suspectsSchema>[number]): peers.SuspectReport {
  return {
    requestDigestHex,
    generation,
    crashCount,
    upstreamIds,
    trialInMs,
    expiresInMs,
  };
}

function decodeStart(
  params: zod.infer<typeof upstreamLeavingSchema>,
): entry.UpstreamStart {
  const {host, port} = addresses.parseSocketAddress(
    params.a,
    '',
    'invalidPeerMessage',
  );
  return {upstreamId: params.i, host, port, startedAtMs: params.b};
}

function decodeStatus(
  params: zod.infer<typeof statusSchema>,
  timelines: positions.EncodedTimelines | undefined,
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
    ...positions.decodePositions(params.o, params.u, timelines),
    limitUseReport:
      params.w === undefined
        ? decodeLimitUseReport(params.q)
        : reports.decodeSparseLimitUseReport(params.w),
    serviceDemands: (params.s ?? []).map(reports.decodeServiceDemand),
  };
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
      demandPerSecond: (demands[index] ?? 0) / reports.DEMAND_STEPS_PER_UNIT,
    })),
  };
}
