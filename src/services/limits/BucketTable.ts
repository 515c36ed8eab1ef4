import * as decisions from '../../decisions/index.js';
import type * as configurations from '../../model/configuration/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as fleetViews from '../fleet/FleetView.js';

interface Bucket {
  readonly limits: decisions.BucketLimits;
  readonly state: decisions.BucketState;
}

/** The buckets of all organisations at this process. */
export class BucketTable {
  private readonly byOrganisation = new Map<string, Bucket>();
  private readonly recalled = new Set<string>();

  /** Gets the organisations that have a bucket. */
  getOrganisationIds(): readonly string[] {
    return [...this.byOrganisation.keys()];
  }

  /** Gets an organisation's bucket, or nothing. */
  get(organisationId: string): decisions.BucketState | undefined {
    return this.byOrganisation.get(organisationId)?.state;
  }

  /** Decides one event, or gets nothing when the organisation has no bucket. */
  decide(
    organisationId: string,
    event: decisions.BucketEvent,
    nowMs: number,
  ): decisions.BucketOutcome | undefined {
    const bucket = this.byOrganisation.get(organisationId);
    if (bucket === undefined) return undefined;
    const {state, outcome} = decisions.decideBucket(
      bucket.state,
      bucket.limits,
      event,
      nowMs,
    );
    this.byOrganisation.set(organisationId, {limits: bucket.limits, state});
    return outcome;
  }

  /** Brings the buckets in line with the configuration and the slots controlled here. */
  update(
    organisations: configurations.EntriesById<configurations.Organisation>,
    view: fleetViews.FleetView,
    nowMs: number,
  ): void {
    for (const organisationId of this.byOrganisation.keys())
      if (organisations[organisationId] === undefined)
        this.byOrganisation.delete(organisationId);
    const slotCount = view.map.slots.length;
    for (const organisationId in organisations) {
      const organisation = organisations[organisationId];
      this.setLimits(organisationId, organisation, slotCount, nowMs);
      const slots = view.controlledSlots;
      this.decide(organisationId, {kind: 'control', slots}, nowMs);
    }
    this.recallFromDead(view.deadProcessIds, nowMs);
  }

  /** Lends what a home asks for. */
  lend(
    request: Extract<peers.PeerRequest, {kind: 'borrowShares'}>,
    nowMs: number,
  ): readonly peers.LoanEntry[] {
    if (this.recalled.has(request.borrowerProcessId)) return [];
    const event: decisions.BucketEvent = {
      kind: 'lend',
      borrowerProcessId: request.borrowerProcessId,
      loanSequence: request.loanSequence,
      deadlineMs: nowMs + request.termMs + decisions.DRIFT_MARGIN_MS,
    };
    return request.entries.flatMap(({organisationId}) => {
      const outcome = this.decide(organisationId, event, nowMs);
      if (outcome?.kind !== 'moved') return [];
      const {slotIndexes, levelTokens} = outcome;
      return [{organisationId, slotIndexes, levelTokens}];
    });
  }

  /** Takes back what a home returns. */
  takeBack(
    request: Extract<peers.PeerRequest, {kind: 'returnShares'}>,
    nowMs: number,
  ): void {
    const {borrowerProcessId, loanSequence} = request;
    for (const {organisationId, levelTokens} of request.entries)
      this.decide(
        organisationId,
        {kind: 'takeBack', borrowerProcessId, loanSequence, levelTokens},
        nowMs,
      );
  }

  /** Hands tokens out, as many of those asked for as there are. */
  grant(
    request: Extract<peers.PeerRequest, {kind: 'takeTokens'}>,
    nowMs: number,
  ): Extract<peers.PeerAnswer, {kind: 'tokens'}> {
    const {organisationId, grantId} = request;
    const level = this.getLevelTokens(organisationId, nowMs);
    const tokens = Math.max(1, Math.min(request.tokens, Math.floor(level)));
    const deadlineMs = nowMs + request.termMs + decisions.DRIFT_MARGIN_MS;
    const event = {kind: 'grant', grantId, tokens, deadlineMs} as const;
    const outcome = this.decide(organisationId, event, nowMs);
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

  private getLevelTokens(organisationId: string, nowMs: number): number {
    const bucket = this.byOrganisation.get(organisationId);
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
    const known = this.byOrganisation.get(organisationId);
    const before = known?.state ?? decisions.getEmptyBucket(nowMs);
    const counted = decisions.advanceBucket(
      before,
      known?.limits ?? limits,
      nowMs,
    );
    const state = decisions.clipLevel(counted, limits);
    this.byOrganisation.set(organisationId, {limits, state});
  }

  /** Loans to a dead process end as soon as the tokens that it handed out can't be spent. */
  private recallFromDead(deadIds: readonly string[], nowMs: number): void {
    const grantsDeadlineMs =
      nowMs + decisions.GRANT_TERM_MS + decisions.DRIFT_MARGIN_MS;
    for (const borrowerProcessId of deadIds) {
      if (this.recalled.has(borrowerProcessId)) continue;
      this.recalled.add(borrowerProcessId);
      for (const organisationId of this.byOrganisation.keys())
        this.decide(
          organisationId,
          {kind: 'borrowerDied', borrowerProcessId, grantsDeadlineMs},
          nowMs,
        );
    }
  }
}
