import * as zod from 'zod';
import type * as fleet from '../../model/fleet/index.js';
import type * as operations from '../../model/operations/index.js';

/** The schema of a VM record. */
export const vmRecordSchema: zod.ZodType<fleet.VmRecord> = zod.strictObject({
  vmId: zod.string(),
  processId: zod.string(),
  region: zod.string(),
  failureDomain: zod.string(),
  callersAddress: zod.string(),
  peersAddress: zod.string(),
});

/** The content of the fleet map's row; the table itself stores the row's version. */
export type FleetRow = Omit<fleet.FleetMap, 'version'>;

const slotSchema: zod.ZodType<fleet.Slot> = zod.discriminatedUnion('kind', [
  zod.strictObject({kind: zod.literal('free'), epoch: zod.int()}),
  zod.strictObject({
    kind: zod.literal('held'),
    epoch: zod.int(),
    holder: vmRecordSchema,
  }),
]);

/** The schema of the fleet map's row. */
export const fleetRowSchema: zod.ZodType<FleetRow> = zod.strictObject({
  slots: zod.array(slotSchema),
  standbys: zod.array(vmRecordSchema),
});

/** The schema of the fleet map as sent between peers. */
export const fleetMapSchema: zod.ZodType<fleet.FleetMap> = zod.strictObject({
  version: zod.int(),
  slots: zod.array(slotSchema),
  standbys: zod.array(vmRecordSchema),
});

/** The row that identifies the newest version of the configuration. */
export interface HeadRow {
  readonly version: number;

  /** Identifies the change that created the version. */
  readonly changeId: string;

  /** The name of the object that contains the complete configuration document. */
  readonly objectName: string;
}

/** The schema of the row that identifies the newest version of the configuration. */
export const headRowSchema: zod.ZodType<HeadRow> = zod.strictObject({
  version: zod.int().min(1),
  changeId: zod.string(),
  objectName: zod.string(),
});

/** The schema of a stored upstream response. */
export const storedAnswerSchema: zod.ZodType<operations.StoredAnswer> =
  zod.strictObject({
    httpStatus: zod.int(),
    contentType: zod.string(),
    bodyBase64: zod.string(),
  });

/** The schema of a claim's row. */
export const claimSchema: zod.ZodType<operations.Claim> = zod.strictObject({
  organisationId: zod.string(),
  keyDigestHex: zod.string(),
  requestDigestHex: zod.string(),
  attemptId: zod.string(),
  processId: zod.string(),
  peersAddress: zod.string(),
  dispatchDeadlineMs: zod.number(),
  state: zod.discriminatedUnion('kind', [
    zod.strictObject({kind: zod.literal('claimed')}),
    zod.strictObject({
      kind: zod.literal('answered'),
      answer: storedAnswerSchema,
    }),
    zod.strictObject({kind: zod.literal('unknown')}),
    zod.strictObject({
      kind: zod.literal('settled'),
      operatorId: zod.string(),
      hasRun: zod.boolean(),
    }),
  ]),
});
