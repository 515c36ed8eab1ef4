import * as zod from 'zod';
import type * as peers from '../../model/peers/index.js';
import * as members from '../members/index.js';

const clockStampSchema: zod.ZodType<peers.ClockStamp> = zod.strictObject({
  epoch: zod.int().min(0),
  atMs: zod.number(),
});

/** The schema of a reader's announcement of rows. */
export const rowsAnnouncementSchema: zod.ZodType<peers.RowsAnnouncement> =
  zod.strictObject({
    readerId: zod.string(),
    processId: zod.string(),
    clock: clockStampSchema,
    echo: zod
      .strictObject({receiver: clockStampSchema, readerAtMs: zod.number()})
      .optional(),
    isStoreAvailable: zod.boolean(),
    upstreams: zod
      .strictObject({
        step: zod.int().min(1),
        currentAtMs: zod.number(),
        extent: zod.discriminatedUnion('kind', [
          zod.strictObject({kind: zod.literal('unchanged')}),
          zod.strictObject({
            kind: zod.literal('changes'),
            fromStep: zod.int().min(1),
            removedIds: zod.array(zod.string()),
          }),
          zod.strictObject({kind: zod.literal('all')}),
        ]),
        rows: members.upstreamRowsSchema,
      })
      .optional(),
    operators: zod
      .strictObject({
        tableVersion: members.positionSchema,
        currentAtMs: zod.number(),
        rows: members.operatorRowsSchema.optional(),
      })
      .transform(({tableVersion, ...announced}) => ({
        ...announced,
        position: members.decodePosition(tableVersion),
      }))
      .optional(),
  });

/** The schema of a VM's answer to an announcement of rows. */
export const rowsReceiptSchema: zod.ZodType<peers.RowsReceipt> = zod
  .strictObject({
    clock: clockStampSchema,
    upstreamStep: zod.int().min(1).optional(),
    operatorTableVersion: members.positionSchema.optional(),
  })
  .transform(({operatorTableVersion, ...receipt}) => ({
    ...receipt,
    operatorPosition:
      operatorTableVersion === undefined
        ? undefined
        : members.decodePosition(operatorTableVersion),
  }));
