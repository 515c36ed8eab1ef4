import * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as fleetViews from '../fleet/FleetView.js';

interface Bucket {
  readonly limits: decisions.BucketLimits;
  readonly state: decisions.BucketState;
}

/** The token buckets of this process, one for each organisation. */
export class BucketTable {
  private readonly bucketsByOrganisation = new Map<string, Bucket>();

  /** Dead processes whose loans have been recalled; they are lent no more shares. */
  private readonly recalledBorrowerIds = new Set<string>();

  /** Gets the identifiers of the organisations that have a bucket. */
  getOrganisationIds(): readonly string[] {
    return [...this.bucketsByOrganisation.keys()];
  }

  /** Gets the state of an organisation's bucket, or undefined when it has none. */
  getBucket(organisationId: string): decisions.BucketState | undefined {
    return this.bucketsByOrganisation.get(organisationId)?.state;
  }

  /** Applies one event to an organisation's bucket; returns undefined when it has none. */
  decide(
    organisationId: string,
    event: decisions.BucketEvent,
    nowMs: number,
  ): decisions.BucketOutcome | undefined {
    const bucket = this.bucketsByOrganisation.get(organisationId);
    if (bucket === undefined) return undefined;
    const {limits} = bucket;
    const {state, outcome} = applyEvent(bucket, event, nowMs);
    this.bucketsByOrganisation.set(organisationId, {limits, state});
    return outcome;
  }

  /** Gets the outcome that an event would have on an organisation's bucket, which it leaves as it is. */
  preview(
    organisationId: string,
    event: decisions.BucketEvent,
    nowMs: number,
  ): decisions.BucketOutcome | undefined {
    const bucket = this.bucketsByOrganisation.get(organisationId);
    return bucket && applyEvent(bucket, event, nowMs).outcome;
  }

  /** Updates the buckets to the configuration, the slots that this process controls, and the processes that died. */
  update(
    organisations: configurations.EntriesById<configurations.Organisation>,
    view: fleetViews.FleetView,
    nowMs: number,
  ): void {
    for (const organisationId of this.bucketsByOrganisation.keys())
      if (organisations[organisationId] === undefined)
        this.bucketsByOrganisation.delete(organisationId);
    const slotCount = view.map.slots.length;
    for (const organisationId in organisations) {
      const organisation = organisations[organisationId];
      this.setLimits(organisationId, organisation, slotCount, nowMs);
      const slots = view.controlledSlots;
      this.decide(organisationId, {kind: 'control', slots}, nowMs);
    }
    this.recallFromDeadProcesses(view.deadProcessIds, nowMs);
  }

  /** Lends the shares of the requested organisations to their home. */
  lend(
    request: Extract<peers.PeerRequest, {kind: 'borrowShares'}>,
    nowMs: number,
  ): readonly peers.LoanEntry[] {
    if (this.recalledBorrowerIds.has(request.borrowerProcessId)) return [];
    const event: decisions.BucketEvent = {
      kind: 'lend',
      borrowerProcessId: request.borrowerProcessId,
      loanSequence: request.loanSequence,
      deadlineMs: nowMs + request.termMs + decisions.CLOCK_DRIFT_MARGIN_MS,
    };
    return request.entries.flatMap(({organisationId}) => {
      const outcome = this.decide(organisationId, event, nowMs);
      if (outcome?.kind !== 'sharesMoved') return [];
      const {slotIndexes, levelTokens} = outcome;
      return [{organisationId, slotIndexes, levelTokens}];
    });
  }

  /** Adds the shares and tokens that a home returns to the buckets. */
  reclaim(
    request: Extract<peers.PeerRequest, {kind: 'returnShares'}>,
    nowMs: number,
  ): void {
    const {borrowerProcessId, loanSequence} = request;
    for (const {organisationId, levelTokens} of request.entries)
      this.decide(
        organisationId,
        {kind: 'reclaimLoan', borrowerProcessId, loanSequence, levelTokens},
        nowMs,
      );
  }

  /** Grants tokens to another process: the requested number, or as many as the bucket has. */
  grant(
    request: Extract<peers.PeerRequest, {kind: 'takeTokens'}>,
    nowMs: number,
  ): Extract<peers.PeerAnswer, {kind: 'tokens'}> {
    const {organisationId, grantId} = request;
    const level = this.getLevelTokens(organisationId, nowMs);
    const tokens = Math.max(1, Math.min(request.tokens, Math.floor(level)));
    const event = createGrant(grantId, tokens, request.termMs, nowMs);
    const outcome = this.decide(organisationId, event, nowMs);
    return toTokensAnswer(outcome, tokens, nowMs);
  }

  /** Gets the answer to another process that would ask for one token; grants none. */
  previewGrant(
    request: Extract<peers.PeerRequest, {kind: 'previewTokens'}>,
    nowMs: number,
  ): Extract<peers.PeerAnswer, {kind: 'tokens'}> {
    const event = createGrant('', 1, request.termMs, nowMs);
    const outcome = this.preview(request.organisationId, event, nowMs);
    return toTokensAnswer(outcome, 1, nowMs);
  }

  private getLevelTokens(organisationId: string, nowMs: number): number {
    const bucket = this.bucketsByOrganisation.get(organisationId);
    if (bucket === undefined) return 0;
    const {state, limits} = bucket;
    return decisions.advanceBucket(state, limits, nowMs).levelTokens;
  }

  private setLimits(
    organisationId: string,
    organisation: configurations.Organisation,
    slotCount: number,
    nowMs: number,
  ): void {
    const limits: decisions.BucketLimits = {
      ratePerSecond: organisation.ratePerSecond,
      burstTokens: organisation.burstRequests,
      slotCount,
    };
    const previous = this.bucketsByOrganisation.get(organisationId);
    const previousState = previous?.state ?? decisions.getEmptyBucket(nowMs);
    const advancedState = decisions.advanceBucket(
      previousState,
      previous?.limits ?? limits,
      nowMs,
    );
    const state = decisions.clipLevel(advancedState, limits);
    this.bucketsByOrganisation.set(organisationId, {limits, state});
  }

  /** Ends loans to dead processes as soon as the tokens that these have granted can no longer be spent. */
  private recallFromDeadProcesses(
    deadProcessIds: readonly string[],
    nowMs: number,
  ): void {
    const grantsDeadlineMs =
      nowMs + decisions.GRANT_TERM_MS + decisions.CLOCK_DRIFT_MARGIN_MS;
    for (const borrowerProcessId of deadProcessIds) {
      if (this.recalledBorrowerIds.has(borrowerProcessId)) continue;
      this.recalledBorrowerIds.add(borrowerProcessId);
      for (const organisationId of this.bucketsByOrganisation.keys())
        this.decide(
          organisationId,
          {kind: 'borrowerDied', borrowerProcessId, grantsDeadlineMs},
          nowMs,
        );
    }
  }
}

function applyEvent(
  bucket: Bucket,
  event: decisions.BucketEvent,
  nowMs: number,
): decisions.BucketUpdate {
  return decisions.applyBucketEvent(bucket.state, bucket.limits, event, nowMs);
}

function createGrant(
  grantId: string,
  tokens: number,
  termMs: number,
  nowMs: number,
): decisions.BucketEvent {
  const deadlineMs = nowMs + termMs + decisions.CLOCK_DRIFT_MARGIN_MS;
  return {kind: 'grant', grantId, tokens, deadlineMs};
}

function toTokensAnswer(
  outcome: decisions.BucketOutcome | undefined,
  tokens: number,
  nowMs: number,
): Extract<peers.PeerAnswer, {kind: 'tokens'}> {
  switch (outcome?.kind) {
    case 'granted':
      return {kind: 'tokens', grantedTokens: tokens, retryAfterMs: 0};
    case 'refused': {
      const retryAfterMs = outcome.retryAtMs - nowMs;
      return {kind: 'tokens', grantedTokens: 0, retryAfterMs};
    }
    default:
      return {kind: 'tokens', grantedTokens: 0, retryAfterMs: 0};
  }
}
