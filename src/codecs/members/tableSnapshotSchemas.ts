import * as zod from 'zod';
import type * as entry from '../../model/entry/index.js';
import * as positions from './storePosition.js';

const routeSchema: zod.ZodType<entry.EntryRoute> = zod.strictObject({
  routeId: zod.string(),
  host: zod.string(),
  pathPrefix: zod.string(),
  execution: zod.enum(['idempotent', 'atMostOnce']),
  access: zod.enum(['open', 'keyed']),
  destination: zod.discriminatedUnion('kind', [
    zod.strictObject({
      kind: zod.literal('service'),
      serviceId: zod.string(),
    }),
    zod.strictObject({
      kind: zod.literal('split'),
      parts: zod.array(
        zod.strictObject({serviceId: zod.string(), weight: zod.number()}),
      ),
    }),
  ]),
  timeLimitMs: zod.number(),
  objectiveMs: zod.number(),
  priority: zod.number(),
  maxUpstreams: zod.number(),
  hasObjects: zod.boolean(),
  homeRegions: zod.array(zod.string()),
});

const configurationSchema: zod.ZodType<entry.EntryConfiguration> =
  zod.strictObject({
    version: zod.number(),
    routes: zod.array(routeSchema),
    services: zod.array(
      zod.strictObject({
        serviceId: zod.string(),
        maxConnections: zod.number(),
        coldMs: zod.number(),
        coldRatePerSecond: zod.number(),
      }),
    ),
    organisations: zod.array(
      zod.strictObject({
        organisationId: zod.string(),
        keys: zod.array(zod.string()),
        priority: zod.union([zod.number(), zod.undefined()]),
        ratePerSecond: zod.number(),
        burstRequests: zod.number(),
        homeRegions: zod.array(zod.string()),
      }),
    ),
    callerLimits: zod.strictObject({
      maxBodyBytes: zod.number(),
      headerTimeoutMs: zod.number(),
      idleTimeoutMs: zod.number(),
    }),
    hasOrganisations: zod.boolean(),
  }) as zod.ZodType<entry.EntryConfiguration>;

/** The schema of the operators' rows as sent between peers. */
export const operatorRowsSchema: zod.ZodType<entry.OperatorRows> = zod
  .strictObject({
    tableVersion: positions.positionSchema,
    configuration: configurationSchema,
    evacuatedDomains: zod.array(zod.string()),
  })
  .transform(withPosition);

/** The schema of the upstreams' rows as sent between peers. */
export const upstreamRowsSchema: zod.ZodType<entry.UpstreamRows> = zod
  .strictObject({
    tableVersion: positions.positionSchema,
    upstreams: zod.array(
      zod.strictObject({
        upstreamId: zod.string(),
        serviceId: zod.string(),
        host: zod.string(),
        port: zod.number(),
        region: zod.string(),
        failureDomain: zod.string(),
        slotCount: zod.number(),
        state: zod.enum(['ready', 'draining']),
        revision: zod.number().default(0),
        coldForMs: zod.number(),
        startedAtMs: zod.number(),
      }),
    ),
    expiredIds: zod.array(zod.string()).default([]),
  })
  .transform(withPosition);

/** Rows as sent between peers, which name the field as VMs of earlier versions do. */
export type EncodedRows<R extends {readonly position: entry.StorePosition}> =
  Omit<R, 'position'> & {readonly tableVersion: positions.EncodedPosition};

/** Encodes the position of rows for a peer. */
export function encodeRows<R extends {readonly position: entry.StorePosition}>({
  position,
  ...content
}: R): EncodedRows<R> {
  return {...content, tableVersion: positions.encodePosition(position)};
}

function withPosition<
  R extends {readonly tableVersion: positions.EncodedPosition},
>({
  tableVersion,
  ...content
}: R): Omit<R, 'tableVersion'> & {
  readonly position: entry.StorePosition;
} {
  return {...content, position: positions.decodePosition(tableVersion)};
}
