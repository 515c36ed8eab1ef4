import * as zod from 'zod';
import type * as model from '../../model/configuration/index.js';

const MAX_PORT = 65_535;
const MAX_BUDGET_MS = 600_000;

const idSchema = zod
  .string()
  .regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'is not an identifier');

const nameSchema = zod.string().min(1).max(200);

const organisationSchema: zod.ZodType<model.Organisation> = zod.strictObject({
  name: nameSchema,
  ratePerSecond: zod.number().positive(),
  burstRequests: zod.number().min(1),
});

const keySchema: zod.ZodType<model.Key> = zod.strictObject({
  organisationId: idSchema,
  digestSha256Hex: zod.string().regex(/^[0-9a-f]{64}$/),
  status: zod.enum(['granted', 'withdrawn']),
});

const routeSchema: zod.ZodType<model.Route> = zod.strictObject({
  pathPrefix: zod.string().startsWith('/'),
  serviceId: idSchema,
  access: zod.enum(['open', 'keyed']),
  execution: zod.enum(['idempotent', 'atMostOnce']),
  budgetMs: zod.int().min(1).max(MAX_BUDGET_MS),
});

const upstreamSchema: zod.ZodType<model.Upstream> = zod.strictObject({
  serviceId: idSchema,
  host: zod.string().min(1),
  port: zod.int().min(1).max(MAX_PORT),
  region: idSchema,
  failureDomain: idSchema,
  slotCount: zod.int().min(1),
  status: zod.enum(['active', 'draining']),
});

const shiftSchema: zod.ZodType<model.Shift> = zod
  .strictObject({
    fromRegion: idSchema,
    toRegion: idSchema,
    startAtMs: zod.int().min(0),
    endAtMs: zod.int().min(0),
    capFraction: zod.number().min(0).max(1),
  })
  .refine(shift => shift.endAtMs >= shift.startAtMs, {
    path: ['endAtMs'],
    message: 'lies before startAtMs',
  });

const clientBlockSchema: zod.ZodType<model.ClientBlock> = zod.strictObject({
  prefix: zod.cidrv4(),
  region: idSchema,
});

/** The schema of the configuration content that operators edit. */
export const documentSchema: zod.ZodType<model.ConfigurationDocument> = zod
  .strictObject({
    organisations: zod.record(idSchema, organisationSchema),
    keys: zod.record(idSchema, keySchema),
    routes: zod.record(idSchema, routeSchema),
    upstreams: zod.record(idSchema, upstreamSchema),
    shifts: zod.record(idSchema, shiftSchema),
    clientBlocks: zod.record(idSchema, clientBlockSchema),
  })
  .superRefine(checkReferences);

/** The schema of a numbered version of the configuration. */
export const configurationSchema: zod.ZodType<model.Configuration> =
  zod.strictObject({
    version: zod.int().min(0),
    document: documentSchema,
  });

/** The schema of a configuration patch. */
export const patchSchema: zod.ZodType<model.ConfigurationPatch> =
  zod.discriminatedUnion('kind', [
    zod.strictObject({
      kind: zod.literal('mergePatch'),
      patch: zod.looseObject({}),
    }),
    zod.strictObject({
      kind: zod.literal('jsonPatch'),
      operations: zod.array(zod.looseObject({})),
    }),
  ]);

/** The schema of an audit trail record. */
export const auditRecordSchema: zod.ZodType<model.AuditRecord> =
  zod.strictObject({
    version: zod.int(),
    baseVersion: zod.int(),
    operatorId: zod.string(),
    changedAtMs: zod.number(),
    changeId: zod.string(),
    patch: patchSchema,
  });

function checkReferences(
  document: model.ConfigurationDocument,
  context: zod.RefinementCtx,
): void {
  for (const [keyId, key] of Object.entries(document.keys)) {
    if (document.organisations[key.organisationId] !== undefined) continue;
    context.addIssue({
      code: 'custom',
      path: ['keys', keyId, 'organisationId'],
      message: `there is no organisation ${key.organisationId}`,
    });
  }
  const movedFractions = new Map<string, number>();
  for (const [shiftId, shift] of Object.entries(document.shifts)) {
    const regionFraction =
      (movedFractions.get(shift.fromRegion) ?? 0) + shift.capFraction;
    movedFractions.set(shift.fromRegion, regionFraction);
    if (regionFraction <= 1) continue;
    context.addIssue({
      code: 'custom',
      path: ['shifts', shiftId, 'capFraction'],
      message: 'the shifts of a region move more than all its callers',
    });
  }
}
