import * as zod from 'zod';
import type * as operators from '../../model/operators/index.js';
import * as configuration from '../configuration/index.js';

const MAX_LISTED_ENTRIES = 1000;

const limitSchema = zod.int().min(1).max(MAX_LISTED_ENTRIES);

/** The schema of an operator's request to a daemon. */
export const operatorRequestSchema: zod.ZodType<operators.OperatorRequest> =
  zod.discriminatedUnion('kind', [
    zod.strictObject({kind: zod.literal('showConfiguration')}),
    zod.strictObject({
      kind: zod.literal('patch'),
      baseVersion: zod.int().min(0),
      patch: configuration.patchSchema,
      isDryRun: zod.boolean(),
      changeId: zod.uuid(),
    }),
    zod.strictObject({
      kind: zod.literal('history'),
      afterVersion: zod.int().min(0),
      limit: limitSchema,
    }),
    zod.strictObject({kind: zod.literal('listVms')}),
    zod.strictObject({
      kind: zod.literal('listOperations'),
      limit: limitSchema,
    }),
    zod.strictObject({
      kind: zod.literal('settleOperation'),
      organisationId: zod.string(),
      keyDigestHex: zod.string(),
      hasRun: zod.boolean(),
    }),
    zod.strictObject({kind: zod.literal('showStatus')}),
    zod.strictObject({
      kind: zod.literal('steer'),
      clientAddress: zod.ipv4(),
      organisationId: zod.string(),
    }),
    zod.strictObject({
      kind: zod.literal('explain'),
      organisationId: zod.string(),
    }),
    zod.strictObject({
      kind: zod.literal('preview'),
      method: zod.string().regex(/^[A-Z-]+$/),
      target: zod.string().startsWith('/'),
      keyDigestHex: zod.union([zod.literal(''), zod.hash('sha256')]),
      hasIdempotencyKey: zod.boolean(),
    }),
  ]);
