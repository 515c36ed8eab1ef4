import * as zod from 'zod';
import type * as peers from '../../model/peers/index.js';
import * as configuration from '../configuration/index.js';
import * as members from '../members/index.js';
import * as rows from '../rows/index.js';
import * as announcements from './announcementSchemas.js';

const statusSchema: zod.ZodType<peers.PeerStatus> = zod.strictObject({
  processId: zod.string(),
  vmId: zod.string(),
  configurationVersion: zod.int(),
  fleetVersion: zod.int(),
  isCounted: zod.boolean(),
  isStopping: zod.boolean(),
});

const loanEntrySchema: zod.ZodType<peers.LoanEntry> = zod.strictObject({
  organisationId: zod.string(),
  slotIndexes: zod.array(zod.int().min(0)),
  levelTokens: zod.number().min(0),
});

const suspectReportsSchema: zod.ZodType<readonly peers.SuspectReport[]> =
  zod.array(
    zod.strictObject({
      requestDigestHex: zod.string(),
      generation: zod.int().min(0),
      crashCount: zod.int().min(0),
      upstreamIds: zod.array(zod.string()),
      trialInMs: zod.number().min(0),
      expiresInMs: zod.number().min(0),
    }),
  );

/** The schema of a request of one daemon to another. */
export const peerRequestSchema: zod.ZodType<peers.PeerRequest> =
  zod.discriminatedUnion('kind', [
    zod.strictObject({kind: zod.literal('heartbeat'), status: statusSchema}),
    zod.strictObject({
      kind: zod.literal('borrowShares'),
      borrowerProcessId: zod.string(),
      loanSequence: zod.int(),
      termMs: zod.number().positive(),
      entries: zod.array(zod.strictObject({organisationId: zod.string()})),
    }),
    zod.strictObject({
      kind: zod.literal('returnShares'),
      borrowerProcessId: zod.string(),
      loanSequence: zod.int(),
      entries: zod.array(loanEntrySchema),
    }),
    zod.strictObject({
      kind: zod.literal('takeTokens'),
      organisationId: zod.string(),
      grantId: zod.string(),
      tokens: zod.int().min(1),
      termMs: zod.number().positive(),
    }),
    zod.strictObject({
      kind: zod.literal('previewTokens'),
      organisationId: zod.string(),
      termMs: zod.number().positive(),
    }),
    zod.strictObject({
      kind: zod.literal('settleTokens'),
      organisationId: zod.string(),
      grantId: zod.string(),
      unspentTokens: zod.number().min(0),
    }),
    zod.strictObject({
      kind: zod.literal('askClaim'),
      attemptId: zod.string(),
      processId: zod.string(),
    }),
    zod.strictObject({
      kind: zod.literal('exchangeSuspects'),
      suspects: suspectReportsSchema,
    }),
    zod.strictObject({kind: zod.literal('getSharedState')}),
    zod.strictObject({kind: zod.literal('getKnowledge')}),
    zod.strictObject({
      kind: zod.literal('announceRows'),
      announcement: announcements.rowsAnnouncementSchema,
    }),
    zod.strictObject({
      kind: zod.literal('borrowRequests'),
      organisationId: zod.string(),
      wantedCount: zod.int().min(1),
    }),
  ]);

const claimReportSchema: zod.ZodType<peers.ClaimReport> =
  zod.discriminatedUnion('kind', [
    zod.strictObject({kind: zod.literal('inProgress')}),
    zod.strictObject({
      kind: zod.literal('answered'),
      answer: rows.storedAnswerSchema,
    }),
    zod.strictObject({kind: zod.literal('abandoned')}),
    zod.strictObject({kind: zod.literal('unknown')}),
    zod.strictObject({kind: zod.literal('gone')}),
  ]);

/** The schema of the response of one daemon to another. */
export const peerAnswerSchema: zod.ZodType<peers.PeerAnswer> =
  zod.discriminatedUnion('kind', [
    zod.strictObject({kind: zod.literal('status'), status: statusSchema}),
    zod.strictObject({
      kind: zod.literal('loans'),
      entries: zod.array(loanEntrySchema),
    }),
    zod.strictObject({kind: zod.literal('done')}),
    zod.strictObject({
      kind: zod.literal('tokens'),
      grantedTokens: zod.int().min(0),
      retryAfterMs: zod.number().min(0),
    }),
    zod.strictObject({
      kind: zod.literal('lent'),
      lentCount: zod.int().min(0),
    }),
    zod.strictObject({
      kind: zod.literal('suspects'),
      suspects: suspectReportsSchema,
    }),
    zod.strictObject({kind: zod.literal('claim'), report: claimReportSchema}),
    zod.strictObject({
      kind: zod.literal('sharedState'),
      configuration: configuration.configurationSchema,
      fleetMap: rows.fleetMapSchema.optional(),
    }),
    zod.strictObject({
      kind: zod.literal('knowledge'),
      operatorRows: members.operatorRowsSchema.optional(),
      upstreamRows: members.upstreamRowsSchema.optional(),
    }),
    zod.strictObject({
      kind: zod.literal('rowsReceived'),
      receipt: announcements.rowsReceiptSchema,
    }),
  ]);
