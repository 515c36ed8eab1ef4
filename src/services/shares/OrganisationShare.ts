import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as counts from './SlidingWindowCount.js';

/** The time in milliseconds over which demand is averaged; it is short compared with the limits' windows. */
const DEMAND_AVERAGING_MS = 1500;

const MS_PER_SECOND = 1000;

/**
 * How long in milliseconds after its first complete window a VM still uses an equal share of the limit. When all VMs
 * start at once, each has received the others' first complete uses by then.
 */
const USE_EXCHANGE_MS = 1200;

/** The fraction of `limitSlack` that all VMs together may admit at once after a start. */
const START_SLACK_FRACTION = 0.9;

/** A VM borrows the requests that it expects within this many milliseconds: a few round trips between regions. */
const BORROW_AHEAD_MS = 200;

/** The fraction of a window's requests that stays unused, as a margin for lost or late use reports in surges. */
const MARGIN_FRACTION = 0.03;

/**
 * How long in milliseconds an allowance lasts after its calculation. The next update replaces it after a second; one
 * that comes much later follows a pause of the process, in which peers may have admitted the requests.
 */
const ALLOWANCE_TERM_MS = 2500;

/** The fraction of the burst that all VMs together may admit shortly after a start or without statuses of peers. */
const UNINFORMED_BURST_FRACTION = 0.5;

/** The window over which limits are enforced, and by how much the requests within it may exceed them. */
export type LimitBounds = Pick<
  entry.EntryBounds,
  'limitWindowMs' | 'limitOverage' | 'limitSlack'
>;

/** What a VM knows of its peers' use of one organisation's limit. */
export interface PeerUse extends decisions.FleetUsage {
  /** Whether this VM has recently received the status of any peer, or has no peers. */
  readonly isConnected: boolean;

  /** Whether this VM is the organisation's lender, as far as it knows; matters only while it is warming up. */
  readonly isLender: boolean;
}

/** The values of a log line about a limit: counts of requests in the last window, demands in requests a second. */
export interface LimitStatistics {
  readonly windowCount: number;
  readonly fleetCount: number;
  readonly ownCount: number;
  readonly ownDemand: number;
  readonly fleetDemand: number;
  readonly informed: AdmissionMode['kind'];
}

/** How a VM decides which requests to admit. */
type AdmissionMode =
  /** The VM doesn't know yet how many peers it has, and admits no requests. */
  | {readonly kind: 'starting'}
  /** The VM knows its peers' use, and admits its share of the requests that the window has left. */
  | {
      readonly kind: 'informed';
      readonly ratePerSecond: number;

      /** Monotonic time in milliseconds at which what the VM knows of its peers' use is too old to admit requests. */
      readonly untilMs: number;
    }
  /** The VM knows too little of its peers' use, and admits an equal share of the rate. */
  | {
      readonly kind: 'uninformed';
      readonly ratePerSecond: number;

      /** The number of requests that may be admitted at once. */
      readonly burstCount: number;
    };

/** One VM's share of an organisation's limit, and the demand of this VM's callers. */
export class OrganisationShare {
  private readonly bounds: LimitBounds;
  private readonly startedAtMs: number;
  private readonly admitted: counts.SlidingWindowCount;
  private organisation: entry.EntryOrganisation;
  private admissionMode: AdmissionMode = {kind: 'starting'};
  private bucket: decisions.TokenBucket;
  private lentCount = 0;
  private lendUntilMs = -Infinity;
  private fleetCount = 0;
  private fleetDemandPerSecond = 0;
  private lentSinceUpdateCount = 0;
  private borrowedCount = 0;
  private demandPerSecond = 0;

  /** The lower of the last two measured demands; the peers may not have received the latest one yet. */
  private publishedDemandPerSecond = 0;
  private arrivedCount = 0;
  private arrivedSinceMs: number;

  /**
   * @param organisation The organisation whose limit is shared.
   * @param bounds The window and the tolerances of limits.
   * @param nowMs The current monotonic time in milliseconds, from which this VM counts requests.
   */
  constructor(
    organisation: entry.EntryOrganisation,
    bounds: LimitBounds,
    nowMs: number,
  ) {
    this.bounds = bounds;
    this.organisation = organisation;
    this.startedAtMs = nowMs;
    this.admitted = new counts.SlidingWindowCount(bounds.limitWindowMs);
    this.bucket = decisions.createBucket(0, nowMs);
    this.arrivedSinceMs = nowMs;
  }

  /** The identifier of the organisation whose limit is shared. */
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

  /** The number of requests that all VMs together may admit within one window. */
  get windowCount(): number {
    const {ratePerSecond, burstRequests} = this.organisation;
    const {limitWindowMs, limitOverage, limitSlack} = this.bounds;
    const count =
      (ratePerSecond * limitWindowMs) / MS_PER_SECOND + burstRequests;
    return (count * (1 + limitOverage) + limitSlack) * (1 - MARGIN_FRACTION);
  }

  /** Replaces the organisation; returns whether its rate or burst has changed. */
  setOrganisation(organisation: entry.EntryOrganisation): boolean {
    const previous = this.organisation;
    this.organisation = organisation;
    return (
      previous.ratePerSecond !== organisation.ratePerSecond ||
      previous.burstRequests !== organisation.burstRequests
    );
  }

  /** Returns whether this VM has counted requests for at least one window. */
  isComplete(nowMs: number): boolean {
    return nowMs - this.startedAtMs >= this.bounds.limitWindowMs;
  }

  /** Returns whether this VM started so recently that it uses an equal share of the limit. */
  isWarmingUp(nowMs: number): boolean {
    return !this.isComplete(nowMs - USE_EXCHANGE_MS);
  }

  /** Updates the measured demand of this VM's callers, and returns this VM's use of the limit. */
  measure(nowMs: number): entry.LimitUse {
    const previousDemandPerSecond = this.demandPerSecond;
    const elapsedMs = nowMs - this.arrivedSinceMs;
    if (elapsedMs > 0) {
      const latestDemandPerSecond =
        (this.arrivedCount * MS_PER_SECOND) / elapsedMs;
      const weight = Math.min(1, elapsedMs / DEMAND_AVERAGING_MS);
      this.demandPerSecond +=
        (latestDemandPerSecond - this.demandPerSecond) * weight;
      this.arrivedCount = 0;
      this.arrivedSinceMs = nowMs;
    }
    this.publishedDemandPerSecond = Math.min(
      previousDemandPerSecond,
      this.demandPerSecond,
    );
    return this.getUse(nowMs);
  }

  /**
   * Calculates how many requests may be admitted until the next call. To be called right after this VM's use was sent
   * to its peers.
   *
   * @param peerUse What this VM knows of its peers' use.
   * @param randomFraction A random number from 0 to below 1, which rounds a fractional number of requests up or down.
   * @param nowMs The current monotonic time in milliseconds.
   */
  update(peerUse: PeerUse, randomFraction: number, nowMs: number): void {
    if (this.isUnlimited) return;
    this.borrowedCount = 0;
    const {memberCount} = peerUse;
    const isWarmingUp = this.isWarmingUp(nowMs);
    this.lendUntilMs = nowMs + ALLOWANCE_TERM_MS;
    if (isWarmingUp || !peerUse.isConnected) {
      const {burstRequests} = this.organisation;
      const burstCount =
        (UNINFORMED_BURST_FRACTION * burstRequests) / memberCount;
      const startSlackCount = isWarmingUp
        ? (START_SLACK_FRACTION * this.bounds.limitSlack) / memberCount
        : 0;
      const allowance = decisions.getStartAllowance({
        ...peerUse,
        limitPerSecond: this.limitPerSecond,
        sinceStartMs: isWarmingUp ? nowMs - this.startedAtMs : undefined,
      });
      this.startUninformedMode(
        allowance.ownRatePerSecond,
        burstCount + startSlackCount,
        startSlackCount,
        nowMs,
      );
      this.lentCount = Math.floor(allowance.lentCount + randomFraction);
      return;
    }
    const fullWindowUses = [this.getUse(nowMs), ...peerUse.fullWindowUses];
    this.updateFleetTotals(fullWindowUses);
    const allowance = decisions.getLimitAllowance({
      windowLimitCount: this.windowCount,
      limitPerSecond: this.limitPerSecond,
      memberCount,
      fullWindowUses,
      partialWindowUses: peerUse.partialWindowUses,
      isDelayed: peerUse.isDelayed ?? false,
      ownDemandPerSecond: this.publishedDemandPerSecond,
    });
    // A remaining fraction of a token is carried over, so that low rates add up to whole requests.
    const remainingTokens = Math.min(this.bucket.tokens, 1) % 1;
    const tokens =
      Math.floor(allowance.ownBurstCount + randomFraction) + remainingTokens;
    this.bucket = decisions.createBucket(tokens, nowMs);
    this.admissionMode = {
      kind: 'informed',
      ratePerSecond: allowance.ownRatePerSecond,
      untilMs: nowMs + ALLOWANCE_TERM_MS,
    };
    // The borrowers' uses may not include all requests lent since the last update, so these are subtracted.
    this.lentCount = Math.floor(
      allowance.lentCount - this.lentSinceUpdateCount,
    );
    this.lentSinceUpdateCount = 0;
  }

  /** Admits a request of this VM's callers if its share or borrowed requests allow; returns whether it did. */
  tryAdmit(nowMs: number): boolean {
    this.arrivedCount += 1;
    if (this.isUnlimited) return true;
    if (!this.tryTakeToken(nowMs)) return this.tryAdmitBorrowed(nowMs);
    this.admitted.add(nowMs);
    return true;
  }

  /** Admits a request that `tryAdmit` has already counted if a borrowed one is left; returns whether it did. */
  tryAdmitBorrowed(nowMs: number): boolean {
    if (this.borrowedCount < 1 || this.hasAllowanceExpired(nowMs)) return false;
    this.borrowedCount -= 1;
    this.admitted.add(nowMs);
    return true;
  }

  /** The number of requests to borrow in one call: at least one, and those expected within `BORROW_AHEAD_MS`. */
  get wantedCount(): number {
    const expectedCount =
      (this.demandPerSecond * BORROW_AHEAD_MS) / MS_PER_SECOND;
    return Math.max(1, Math.floor(expectedCount));
  }

  /** Adds requests that the lender has lent; they expire at the next update. */
  addBorrowed(count: number): void {
    this.borrowedCount += count;
  }

  /** Lends up to `wantedCount` requests to a VM that has used up its share; returns how many. */
  lend(wantedCount: number, nowMs: number): number {
    if (nowMs >= this.lendUntilMs) return 0;
    const count = Math.max(0, Math.min(wantedCount, this.lentCount));
    this.lentCount -= count;
    this.lentSinceUpdateCount += count;
    return count;
  }

  /** Gets the limit's use, for log lines. */
  getStatistics(nowMs: number): LimitStatistics {
    return {
      windowCount: Math.round(this.windowCount),
      fleetCount: this.fleetCount,
      ownCount: this.admitted.getTotal(nowMs),
      ownDemand: Math.round(this.demandPerSecond),
      fleetDemand: Math.round(this.fleetDemandPerSecond),
      informed: this.admissionMode.kind,
    };
  }

  /** Describes how requests are admitted now, as the reason of a refusal. */
  describe(): string {
    switch (this.admissionMode.kind) {
      case 'starting':
        return 'nothing is known of the others yet';
      case 'informed':
        return `${this.admissionMode.ratePerSecond.toFixed(1)}/s here now, ${this.demandPerSecond.toFixed(1)}/s asked here`;
      case 'uninformed':
        return `${this.admissionMode.ratePerSecond.toFixed(1)}/s here while the others are not known`;
    }
  }

  private updateFleetTotals(uses: readonly entry.LimitUse[]): void {
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
      admittedCount: this.admitted.getTotal(nowMs),
      leavingCount: this.admitted.getLeavingCount(MS_PER_SECOND, nowMs),
    };
  }

  private hasAllowanceExpired(nowMs: number): boolean {
    switch (this.admissionMode.kind) {
      case 'informed':
        return nowMs >= this.admissionMode.untilMs;
      case 'starting':
      case 'uninformed':
        return false;
    }
  }

  private tryTakeToken(nowMs: number): boolean {
    if (this.hasAllowanceExpired(nowMs)) return false;
    switch (this.admissionMode.kind) {
      case 'starting':
        return false;
      case 'informed':
      case 'uninformed':
        this.refill(this.admissionMode, nowMs);
        if (!decisions.hasToken(this.bucket)) return false;
        this.bucket = decisions.consumeToken(this.bucket);
        return true;
    }
  }

  private startUninformedMode(
    ratePerSecond: number,
    burstCount: number,
    startSlackCount: number,
    nowMs: number,
  ): void {
    switch (this.admissionMode.kind) {
      case 'starting':
      case 'informed':
        this.bucket = decisions.createBucket(startSlackCount, nowMs);
        break;
      case 'uninformed':
        this.refill(this.admissionMode, nowMs);
        break;
    }
    this.admissionMode = {kind: 'uninformed', ratePerSecond, burstCount};
    this.lentSinceUpdateCount = 0;
  }

  private refill(
    admissionMode: Exclude<AdmissionMode, {kind: 'starting'}>,
    nowMs: number,
  ): void {
    const burstCount =
      admissionMode.kind === 'informed'
        ? Infinity
        : Math.max(1, admissionMode.burstCount);
    this.bucket = decisions.refillBucket(
      this.bucket,
      admissionMode.ratePerSecond,
      burstCount,
      nowMs,
    );
  }
}
