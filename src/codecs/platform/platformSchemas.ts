import * as zod from 'zod';
import type * as platform from '../../model/platform/index.js';

/** The schema of a table transaction. */
export const transactionSchema: zod.ZodType<platform.TableTransaction> =
  zod.strictObject({
    checks: zod.array(
      zod.strictObject({key: zod.string(), version: zod.int().min(0)}),
    ),
    writes: zod.array(
      zod.discriminatedUnion('kind', [
        zod.strictObject({
          kind: zod.literal('put'),
          key: zod.string(),
          value: zod.string(),
        }),
        zod.strictObject({kind: zod.literal('delete'), key: zod.string()}),
      ]),
    ),
  });

/** The schema of the platform's response to a transaction. */
export const transactionAnswerSchema = zod.discriminatedUnion('kind', [
  zod.strictObject({kind: zod.literal('committed'), version: zod.int()}),
  zod.strictObject({kind: zod.literal('conflict'), key: zod.string()}),
]);

/** The schema of the rows that a read returns. */
export const rowsSchema: zod.ZodType<readonly platform.TableRow[]> = zod.array(
  zod.strictObject({
    key: zod.string(),
    version: zod.int(),
    value: zod.string(),
  }),
);

/** The schema of the platform's list of VMs. */
export const listedVmsSchema: zod.ZodType<readonly platform.ListedVm[]> =
  zod.array(
    zod.strictObject({
      vmId: zod.string(),
      status: zod.enum(['live', 'leaving']),
    }),
  );

/** A request to read rows: those with the given keys, or those whose keys have a prefix. */
export type ReadRequest =
  | {readonly kind: 'keys'; readonly keys: readonly string[]}
  | {
      readonly kind: 'prefix';
      readonly prefix: string;
      /** Only rows whose keys sort after this key are returned. */
      readonly afterKey: string;
      readonly limit: number;
    };

/** The schema of a request to read rows. */
export const readRequestSchema: zod.ZodType<ReadRequest> =
  zod.discriminatedUnion('kind', [
    zod.strictObject({
      kind: zod.literal('keys'),
      keys: zod.array(zod.string()),
    }),
    zod.strictObject({
      kind: zod.literal('prefix'),
      prefix: zod.string(),
      afterKey: zod.string(),
      limit: zod.int().min(1),
    }),
  ]);
