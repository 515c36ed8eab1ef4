import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as counts from './SlidingCount.js';

/** Time in milliseconds over which demand is averaged: short beside the limits' windows. */
const DEMAND_TERM_MS = 1500;

const MS_PER_SECOND = 1000;

/**
 * How long in milliseconds after its first whole window a VM goes on with an equal part: after a start of all
 * VMs, the others have told theirs by then.
 */
const EXCHANGE_MS = 1200;

/** The part of the tolerance that all VMs together may admit at once after a start. */
const START_SLACK_PART = 0.9;

/** How far ahead in milliseconds a VM borrows: a few round trips between regions. */
const BORROW_AHEAD_MS = 200;

/** The part of a window that is left free, for reports that are lost or late: by emulated surges. */
const MARGIN_PART = 0.03;

/** The part of the burst that VMs together hold that are young or hear nobody. */
const UNINFORMED_BURST_PART = 0.5;

/** How the use of limits is judged. */
export type LimitBounds = Pick<
  entry.EntryBounds,
  'limitWindowMs' | 'limitOverage' | 'limitSlack'
>;

/** What a VM knows of the use of one organisation's limit by the others. */
export interface OthersUse extends decisions.FleetUse {
  /** Whether this VM hears others, or there are none. */
  readonly isConnected: boolean;
}

/** What a VM knows of the use of a limit; counts are of the last window, demands of a second. */
export interface LimitFigures {
  readonly windowCount: number;
  readonly fleetCount: number;
  readonly ownCount: number;
  readonly ownDemand: number;
  readonly fleetDemand: number;
  readonly informed: Regime['kind'];
}

/** How a VM may admit requests. */
type Regime =
  /** It knows nothing, and admits nothing. */
  | {readonly kind: 'starting'}
  /** It knows what the others use, and admits its part of the window's remainder. */
  | {readonly kind: 'informed'; readonly ratePerSecond: number}
  /** It knows too little, and keeps to an equal part of the rate. */
  | {
      readonly kind: 'uninformed';
      readonly ratePerSecond: number;

      /** Requests that may come at once. */
      readonly burstCount: number;
    };

/** One VM's part of an organisation's limit, and what its callers ask of it. */
export class OrganisationShare {
  private readonly bounds: LimitBounds;
  private readonly startedAtMs: number;
  private readonly admitted: counts.SlidingCount;
  private organisation: entry.EntryOrganisation;
  private regime: Regime = {kind: 'starting'};
  private bucket: decisions.TokenBucket;
  private lentCount = 0;
  private fleetCount = 0;
  private fleetDemandPerSecond = 0;
  private lentSinceUpdate = 0;
  private borrowedCount = 0;
  private demandPerSecond = 0;

  /** The lower of this demand and the one measured before it, which the others have heard. */
  private heardDemandPerSecond = 0;
  private askedCount = 0;
  private countedSinceMs: number;

  /**
   * @param organisation The organisation that the share is of.
   * @param bounds How limits are judged.
   * @param nowMs The monotonic time in milliseconds from which on this VM counts.
   */
  constructor(
    organisation: entry.EntryOrganisation,
    bounds: LimitBounds,
    nowMs: number,
  ) {
    this.bounds = bounds;
    this.organisation = organisation;
    this.startedAtMs = nowMs;
    this.admitted = new counts.SlidingCount(bounds.limitWindowMs);
    this.bucket = decisions.startBucket(0, nowMs);
    this.countedSinceMs = nowMs;
  }

  /** The organisation that the share is of. */
  get organisationId(): string {
    return this.organisation.organisationId;
  }

  /** Whether the organisation has no limit. */
  get isUnlimited(): boolean {
    return this.organisation.ratePerSecond <= 0;
  }

  /** The limit of the whole fleet, in requests a second. */
  get limitPerSecond(): number {
    return this.organisation.ratePerSecond;
  }

  /** Requests that one window may hold over all VMs. */
  get windowCount(): number {
    const {ratePerSecond, burstRequests} = this.organisation;
    const {limitWindowMs, limitOverage, limitSlack} = this.bounds;
    const plain =
      (ratePerSecond * limitWindowMs) / MS_PER_SECOND + burstRequests;
    return (plain * (1 + limitOverage) + limitSlack) * (1 - MARGIN_PART);
  }

  /** Replaces the organisation; tells whether its limit has changed. */
  setOrganisation(organisation: entry.EntryOrganisation): boolean {
    const known = this.organisation;
    this.organisation = organisation;
    return (
      known.ratePerSecond !== organisation.ratePerSecond ||
      known.burstRequests !== organisation.burstRequests
    );
  }

  /** Whether this VM has counted for a whole window. */
  isComplete(nowMs: number): boolean {
    return nowMs - this.startedAtMs >= this.bounds.limitWindowMs;
  }

  /** Measures what this VM's callers ask for, and how much it admitted within the last window. */
  measure(nowMs: number): entry.LimitUse {
    const toldPerSecond = this.demandPerSecond;
    const elapsedMs = nowMs - this.countedSinceMs;
    if (elapsedMs > 0) {
      const latest = (this.askedCount * MS_PER_SECOND) / elapsedMs;
      const weight = Math.min(1, elapsedMs / DEMAND_TERM_MS);
      this.demandPerSecond += (latest - this.demandPerSecond) * weight;
      this.askedCount = 0;
      this.countedSinceMs = nowMs;
    }
    this.heardDemandPerSecond = Math.min(toldPerSecond, this.demandPerSecond);
    return this.getUse(nowMs);
  }

  /**
   * Decides what may be admitted until the next call, right after this VM's use was told.
   *
   * @param random Decides, from 0 to below 1, whether a part of a request becomes a whole one.
   */
  update(others: OthersUse, random: number, nowMs: number): void {
    if (this.isUnlimited) return;
    this.borrowedCount = 0;
    const {memberCount} = others;
    const equalRate = this.limitPerSecond / memberCount;
    const isYoung = !this.isComplete(nowMs - EXCHANGE_MS);
    if (isYoung || !others.isConnected) {
      const {burstRequests} = this.organisation;
      const burstCount = (UNINFORMED_BURST_PART * burstRequests) / memberCount;
      const startCount = isYoung
        ? (START_SLACK_PART * this.bounds.limitSlack) / memberCount
        : 0;
      this.setUninformed(equalRate, burstCount + startCount, startCount, nowMs);
      return;
    }
    const completeUses = [this.getUse(nowMs), ...others.completeUses];
    this.noteFleet(completeUses);
    const allowance = decisions.getLimitAllowance({
      windowCount: this.windowCount,
      limitPerSecond: this.limitPerSecond,
      memberCount,
      completeUses,
      youngUses: others.youngUses,
      ownDemandPerSecond: this.heardDemandPerSecond,
    });
    // What is left of one request goes on, so that small rates add up to whole ones.
    const leftTokens = Math.min(this.bucket.tokens, 1) % 1;
    const tokens = Math.floor(allowance.ownCount + random) + leftTokens;
    this.bucket = decisions.startBucket(tokens, nowMs);
    this.regime = {kind: 'informed', ratePerSecond: allowance.ownPerSecond};
    // Of what was lent just now the borrowers have not told all.
    this.lentCount = Math.floor(allowance.lentCount - this.lentSinceUpdate);
    this.lentSinceUpdate = 0;
  }

  /** Admits a request of this VM's callers, if its part allows. */
  take(nowMs: number): boolean {
    this.askedCount += 1;
    if (this.isUnlimited) return true;
    if (!this.takeOwn(nowMs)) return this.takeBorrowed(nowMs);
    this.admitted.add(nowMs);
    return true;
  }

  /** Admits a request that was asked for before, if what was borrowed allows. */
  takeBorrowed(nowMs: number): boolean {
    if (this.borrowedCount < 1) return false;
    this.borrowedCount -= 1;
    this.admitted.add(nowMs);
    return true;
  }

  /** Requests for which the lender is asked at once: those of the next moments. */
  get wantedCount(): number {
    const soonCount = (this.demandPerSecond * BORROW_AHEAD_MS) / MS_PER_SECOND;
    return Math.max(1, Math.floor(soonCount));
  }

  /** Notes requests that the lender gives; they are gone with the next update. */
  addBorrowed(count: number): void {
    this.borrowedCount += count;
  }

  /** Lends up to `wantedCount` requests to a VM that has used up its part; gives how many. */
  lend(wantedCount: number): number {
    switch (this.regime.kind) {
      case 'informed': {
        const count = Math.max(0, Math.min(wantedCount, this.lentCount));
        this.lentCount -= count;
        this.lentSinceUpdate += count;
        return count;
      }
      case 'starting':
      case 'uninformed':
        return 0;
    }
  }

  /** Gets what is known of the limit's use, for log lines. */
  getFigures(nowMs: number): LimitFigures {
    return {
      windowCount: Math.round(this.windowCount),
      fleetCount: this.fleetCount,
      ownCount: this.admitted.get(nowMs),
      ownDemand: Math.round(this.demandPerSecond),
      fleetDemand: Math.round(this.fleetDemandPerSecond),
      informed: this.regime.kind,
    };
  }

  /** Gets what decides on requests now, for log lines. */
  describe(): string {
    switch (this.regime.kind) {
      case 'starting':
        return 'nothing is known of the others yet';
      case 'informed':
        return `${this.regime.ratePerSecond.toFixed(1)}/s here now, ${this.demandPerSecond.toFixed(1)}/s asked here`;
      case 'uninformed':
        return `${this.regime.ratePerSecond.toFixed(1)}/s here while the others are not known`;
    }
  }

  private noteFleet(uses: readonly entry.LimitUse[]): void {
    this.fleetCount = 0;
    this.fleetDemandPerSecond = 0;
    for (const use of uses) {
      this.fleetCount += use.admittedCount;
      this.fleetDemandPerSecond += use.demandPerSecond;
    }
  }

  private getUse(nowMs: number): entry.LimitUse {
    return {
      demandPerSecond: this.demandPerSecond,
      admittedCount: this.admitted.get(nowMs),
      leavingCount: this.admitted.getLeaving(MS_PER_SECOND, nowMs),
    };
  }

  private takeOwn(nowMs: number): boolean {
    switch (this.regime.kind) {
      case 'starting':
        return false;
      case 'informed':
      case 'uninformed':
        this.fill(this.regime, nowMs);
        if (!decisions.hasToken(this.bucket)) return false;
        this.bucket = decisions.takeToken(this.bucket);
        return true;
    }
  }

  private setUninformed(
    ratePerSecond: number,
    burstCount: number,
    startCount: number,
    nowMs: number,
  ): void {
    switch (this.regime.kind) {
      case 'starting':
      case 'informed':
        this.bucket = decisions.startBucket(startCount, nowMs);
        break;
      case 'uninformed':
        this.fill(this.regime, nowMs);
        break;
    }
    this.regime = {kind: 'uninformed', ratePerSecond, burstCount};
    this.lentCount = 0;
  }

  private fill(
    regime: Exclude<Regime, {kind: 'starting'}>,
    nowMs: number,
  ): void {
    const burstCount =
      regime.kind === 'informed' ? Infinity : Math.max(1, regime.burstCount);
    this.bucket = decisions.fillBucket(
      this.bucket,
      regime.ratePerSecond,
      burstCount,
      nowMs,
    );
  }
}
