import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

/** Time in milliseconds over which demand is averaged: short beside the limits' windows. */
const DEMAND_TERM_MS = 1500;

const MS_PER_SECOND = 1000;

/**
 * The part of an organisation's burst that the fleet's buckets hold together. The rest covers VMs that
 * restart or are cut off, whose buckets fill beside the others'.
 */
const BURST_PART = 0.5;

/** One VM's part of an organisation's limit, and what its callers ask of it. */
export class OrganisationShare {
  private organisation: entry.EntryOrganisation;
  private bucket: decisions.TokenBucket;
  private sharePerSecond = 0;
  private demandPerSecond = 0;
  private askedCount = 0;
  private countedSinceMs: number;

  /** @param organisation The organisation that the share is of. */
  constructor(organisation: entry.EntryOrganisation, nowMs: number) {
    this.organisation = organisation;
    this.bucket = decisions.startBucket(nowMs);
    this.countedSinceMs = nowMs;
  }

  /** Whether the organisation has no limit. */
  get isUnlimited(): boolean {
    return this.organisation.ratePerSecond <= 0;
  }

  /** What this VM's callers ask for, in requests a second. */
  get ownDemandPerSecond(): number {
    return this.demandPerSecond;
  }

  /** Replaces the limit. */
  setOrganisation(organisation: entry.EntryOrganisation): void {
    this.organisation = organisation;
  }

  /** Works out demand and share anew. */
  update(
    reportedDemandsPerSecond: readonly number[],
    otherCount: number,
    isConnected: boolean,
    nowMs: number,
  ): void {
    this.updateDemand(nowMs);
    this.fill(nowMs);
    this.sharePerSecond = decisions.getLimitShare({
      limitPerSecond: this.organisation.ratePerSecond,
      ownDemandPerSecond: this.demandPerSecond,
      reportedDemandsPerSecond,
      otherCount,
      isConnected,
    });
  }

  /** Takes one request's token; gives nothing or the monotonic time from which a repeat makes sense. */
  take(nowMs: number): number | undefined {
    this.askedCount += 1;
    if (this.isUnlimited) return undefined;
    this.fill(nowMs);
    if (decisions.hasToken(this.bucket)) {
      this.bucket = decisions.takeToken(this.bucket);
      return undefined;
    }
    const missing = 1 - this.bucket.tokens;
    const rate = Math.max(this.sharePerSecond, Number.EPSILON);
    return nowMs + (missing * MS_PER_SECOND) / rate;
  }

  private fill(nowMs: number): void {
    const {ratePerSecond, burstRequests} = this.organisation;
    const part =
      ratePerSecond > 0 ? this.sharePerSecond / ratePerSecond : 0;
    const burst = Math.max(1, BURST_PART * burstRequests * part);
    this.bucket = decisions.fillBucket(
      this.bucket,
      this.sharePerSecond,
      burst,
      nowMs,
    );
  }

  private updateDemand(nowMs: number): void {
    const elapsedMs = nowMs - this.countedSinceMs;
    if (elapsedMs <= 0) return;
    const latest = (this.askedCount * MS_PER_SECOND) / elapsedMs;
    const weight = Math.min(1, elapsedMs / DEMAND_TERM_MS);
    this.demandPerSecond += (latest - this.demandPerSecond) * weight;
    this.askedCount = 0;
    this.countedSinceMs = nowMs;
  }
}
