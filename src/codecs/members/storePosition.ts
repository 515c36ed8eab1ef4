import * as zod from 'zod';
import type * as entry from '../../model/entry/index.js';

/** A version alone where the store names no timelines, as VMs of earlier versions send it; else its timeline before it. */
export const positionSchema = zod.union([
  zod.int().min(0),
  zod.tuple([zod.int().min(0), zod.int().min(0)]),
]);

/** A position of the store as sent between VMs. */
export type EncodedPosition = zod.infer<typeof positionSchema>;

/** Encodes a position for another VM. */
export function encodePosition({
  timeline,
  version,
}: entry.StorePosition): EncodedPosition {
  switch (timeline.kind) {
    case 'unnumbered':
      return version;
    case 'numbered':
      return [timeline.number, version];
  }
}

/** Decodes a position that another VM sent. */
export function decodePosition(encoded: EncodedPosition): entry.StorePosition {
  if (typeof encoded === 'number')
    return {timeline: {kind: 'unnumbered'}, version: encoded};
  const [number, version] = encoded;
  return {timeline: {kind: 'numbered', number}, version};
}

/** The timelines of the operators' and the upstreams' rows beside their versions; null where the store names none. */
export const timelinesSchema = zod.tuple([
  zod.int().min(0).nullable(),
  zod.int().min(0).nullable(),
]);

/** The timelines of the rows that a VM has read. */
export type EncodedTimelines = zod.infer<typeof timelinesSchema>;

/** The positions up to which a VM has read rows. */
type RowsPositions = Pick<
  entry.MemberStatus,
  'operatorRowsPosition' | 'upstreamRowsPosition'
>;

/** Encodes the timelines of the rows that a VM has read; undefined where the store names none. */
export function encodeTimelines({
  operatorRowsPosition,
  upstreamRowsPosition,
}: RowsPositions): EncodedTimelines | undefined {
  const operators = encodeTimeline(operatorRowsPosition.timeline);
  const upstreams = encodeTimeline(upstreamRowsPosition.timeline);
  return operators === null && upstreams === null
    ? undefined
    : [operators, upstreams];
}

/** Decodes the positions up to which a VM has read rows. */
export function decodePositions(
  operatorVersion: number,
  upstreamVersion: number,
  [operators, upstreams]: EncodedTimelines = [null, null],
): RowsPositions {
  return {
    operatorRowsPosition: {
      timeline: decodeTimeline(operators),
      version: operatorVersion,
    },
    upstreamRowsPosition: {
      timeline: decodeTimeline(upstreams),
      version: upstreamVersion,
    },
  };
}

function encodeTimeline(timeline: entry.StoreTimeline): number | null {
  switch (timeline.kind) {
    case 'unnumbered':
      return null;
    case 'numbered':
      return timeline.number;
  }
}

function decodeTimeline(number: number | null): entry.StoreTimeline {
  return number === null ? {kind: 'unnumbered'} : {kind: 'numbered', number};
}
