import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as shares from './OrganisationShare.js';
import * as peerUses from './getPeerUse.js';
import type * as messages from './SharesMessage.js';

/** The interval in milliseconds at which this VM sends its use of limits to peers and recalculates its shares. */
const UPDATE_INTERVAL_MS = 1000;

/** The shortest time in milliseconds between a tick and an early publication of the uses. */
const EARLY_PUBLISH_DELAY_MS = 100;

/** The number of calls to an organisation's lender between two ticks that indicates a surge. */
const SURGE_BORROW_CALL_COUNT = 2;

/** The timeout in milliseconds of a call to a lender: twice a round trip between distant regions. */
const BORROW_TIMEOUT_MS = 150;

/** A request that is to be admitted or refused. */
type Admission = Extract<messages.SharesMessage, {kind: 'admit'}>;

/** Admits requests within this VM's share of each organisation's limit. */
export class SharesTask extends base.ServiceTask<messages.SharesMessage> {
  private readonly shares = new Map<string, shares.OrganisationShare>();
  private readonly bounds: shares.LimitBounds;
  private readonly random: base.RandomSource;

  /** Whether the uses were published early since the last tick, because a share was used up. */
  private hasPublishedEarly = false;

  /** The number of requests refused since the last tick, by organisation. */
  private readonly refusedCounts = new Map<string, number>();

  /** The number of calls to the lender since the last tick, by organisation. */
  private readonly borrowCallCounts = new Map<string, number>();

  /** The requests that wait for the lender's answer, by organisation. */
  private readonly waiting = new Map<string, Admission[]>();

  /** Organisations whose lender had no requests left, or did not answer, since the last tick. */
  private readonly exhaustedIds = new Set<string>();
  private organisations: readonly entry.EntryOrganisation[] = [];
  private limitedOrganisationIds: readonly string[] = [];
  private organisationsDigest = 0;
  private members: membersService.MembersChanged | undefined;
  private lastTickAtMs = 0;

  /**
   * @param bounds The window and the tolerances of limits.
   * @param seed Seeds the random rounding of fractional shares and the spread of retry times.
   */
  constructor(bounds: shares.LimitBounds, seed: number) {
    super();
    this.bounds = bounds;
    this.random = new base.RandomSource(seed);
  }

  protected override async onStart(): Promise<void> {
    this.lastTickAtMs = this.nowMs();
    const subscriber = this.getAddress();
    this.getService(knowledgeService.KNOWLEDGE).post({
      kind: 'subscribeOperatorRows',
      subscriber,
    });
    this.getService(membersService.MEMBERS).post({
      kind: 'subscribe',
      subscriber,
    });
    this.postEvery(UPDATE_INTERVAL_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.SharesMessage): void {
    switch (message.kind) {
      case 'operatorRowsChanged':
        this.setOrganisations(message.rows.configuration.organisations);
        return;
      case 'membersChanged':
        this.setMembers(message);
        return;
      case 'admit':
        this.admit(message);
        return;
      case 'lend':
        message.reply(this.lend(message.organisationId, message.wantedCount));
        return;
      case 'lent':
        this.handleLentRequests(message);
        return;
      case 'tick':
        this.handleTick();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private setMembers(members: membersService.MembersChanged): void {
    const wasPeerCountKnown = this.members?.isPeerCountKnown;
    this.members = members;
    if (wasPeerCountKnown !== members.isPeerCountKnown) this.update(() => true);
  }

  private setOrganisations(
    organisations: readonly entry.EntryOrganisation[],
  ): void {
    if (organisations === this.organisations) return;
    this.organisations = organisations;
    const nowMs = this.nowMs();
    const configuredIds = new Set<string>();
    const changedIds = new Set<string>();
    for (const organisation of organisations) {
      const {organisationId} = organisation;
      configuredIds.add(organisationId);
      const share = this.shares.get(organisationId);
      if (share === undefined) {
        this.shares.set(
          organisationId,
          new shares.OrganisationShare(organisation, this.bounds, nowMs),
        );
        changedIds.add(organisationId);
      } else if (share.setOrganisation(organisation)) {
        changedIds.add(organisationId);
      }
    }
    for (const organisationId of this.shares.keys())
      if (!configuredIds.has(organisationId))
        this.shares.delete(organisationId);
    this.limitedOrganisationIds = organisations
      .filter(organisation => organisation.ratePerSecond > 0)
      .map(organisation => organisation.organisationId)
      .sort();
    this.organisationsDigest = decisions.getHash(
      this.limitedOrganisationIds.join(),
    );
    // Shares of unchanged organisations stay until the next tick: an update now would grant the same requests twice.
    this.update(organisationId => changedIds.has(organisationId));
  }

  /** Sends this VM's uses to its peers, and recalculates its shares. */
  private handleTick(): void {
    const nowMs = this.nowMs();
    this.lastTickAtMs = nowMs;
    this.logRefusals();
    this.exhaustedIds.clear();
    this.borrowCallCounts.clear();
    this.hasPublishedEarly = false;
    this.publishUses();
    this.update(() => true);
  }

  /** Sends this VM's uses of all limits to its peers. */
  private publishUses(): void {
    const nowMs = this.nowMs();
    let isComplete = true;
    const uses = this.limitedOrganisationIds.map(organisationId => {
      const share = this.shares.get(organisationId);
      isComplete &&= share?.isComplete(nowMs) ?? false;
      return share?.measure(nowMs) ?? NO_USE;
    });
    const {organisationsDigest} = this;
    this.getService(membersService.MEMBERS).post({
      kind: 'publishLimitUses',
      limitUseReport: {organisationsDigest, isComplete, uses},
    });
  }

  /** Recalculates this VM's shares of the chosen organisations' limits. */
  private update(isChosen: (organisationId: string) => boolean): void {
    const nowMs = this.nowMs();
    const {members} = this;
    if (members?.isPeerCountKnown !== true) return;
    const memberCount = members.peerCount + 1;
    const {isConnected} = members;
    const uses = peerUses.getPeerUses(
      members.peerStatuses,
      this.organisationsDigest,
    );
    for (const [
      index,
      organisationId,
    ] of this.limitedOrganisationIds.entries()) {
      const share = this.shares.get(organisationId);
      if (share === undefined || !isChosen(organisationId)) continue;
      const peerUse: shares.PeerUse = {
        memberCount,
        isConnected,
        isLender: share.isWarmingUp(nowMs) && this.isLender(organisationId),
        ...peerUses.getPeerUse(uses, index),
      };
      share.update(peerUse, this.random.draw(), nowMs);
    }
  }

  private admit(admission: Admission): void {
    const {organisationId, abandoned, reply} = admission;
    if (abandoned.aborted) {
      reply({kind: 'abandoned'});
      return;
    }
    const share = this.shares.get(organisationId);
    if (share === undefined || share.tryAdmit(this.nowMs())) {
      reply({kind: 'granted'});
      return;
    }
    if (this.exhaustedIds.has(organisationId)) {
      reply(this.getRefusal(share));
      return;
    }
    const waiting = this.waiting.get(organisationId);
    if (waiting !== undefined) {
      waiting.push(admission);
      return;
    }
    this.waiting.set(organisationId, [admission]);
    this.borrow(organisationId, 1);
  }

  private lend(organisationId: string, wantedCount: number): number {
    return (
      this.shares.get(organisationId)?.lend(wantedCount, this.nowMs()) ?? 0
    );
  }

  private chooseLender(organisationId: string): entry.MemberRecord | undefined {
    const servingMembers = this.members?.servingMembers ?? [];
    return decisions.chooseLender(servingMembers, organisationId);
  }

  private isLender(organisationId: string): boolean {
    const lender = this.chooseLender(organisationId);
    return lender !== undefined && lender.vmId === this.members?.selfId;
  }

  /** Borrows from the organisation's lender the requests that are expected soon, and at least `minCount`. */
  private borrow(organisationId: string, minCount: number): void {
    const borrowCallCount =
      (this.borrowCallCounts.get(organisationId) ?? 0) + 1;
    this.borrowCallCounts.set(organisationId, borrowCallCount);
    if (borrowCallCount >= SURGE_BORROW_CALL_COUNT) this.publishUsesEarly();
    const share = this.shares.get(organisationId);
    const wantedCount = Math.max(minCount, share?.wantedCount ?? 1);
    const post = (lentCount: number) =>
      this.getAddress().post({kind: 'lent', organisationId, lentCount});
    const lender = this.chooseLender(organisationId);
    if (lender === undefined || lender.vmId === this.members?.selfId) {
      post(this.lend(organisationId, wantedCount));
      return;
    }
    void this.getService(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: lender.peersAddress,
        request: {kind: 'borrowRequests', organisationId, wantedCount},
        deadlineMs: this.nowMs() + BORROW_TIMEOUT_MS,
        reply,
      }))
      .then(result => {
        if (result.kind === 'answered' && result.answer.kind === 'lent') {
          post(result.answer.lentCount);
          return;
        }
        this.log('debug', 'peerFailed', {
          peer: lender.vmId,
          organisation: organisationId,
        });
        post(0);
      });
  }

  /** Admits waiting requests as far as the lent ones suffice, and borrows again for the rest. */
  private handleLentRequests(
    message: Extract<messages.SharesMessage, {kind: 'lent'}>,
  ): void {
    const {organisationId, lentCount} = message;
    const waiting = this.waiting.get(organisationId) ?? [];
    this.waiting.delete(organisationId);
    const share = this.shares.get(organisationId);
    share?.addBorrowed(lentCount);
    const nowMs = this.nowMs();
    const unserved: Admission[] = [];
    for (const admission of waiting) {
      const {abandoned, reply} = admission;
      if (abandoned.aborted) {
        reply({kind: 'abandoned'});
      } else if (share === undefined || share.tryAdmitBorrowed(nowMs)) {
        if (share !== undefined) this.count('requests_borrowed');
        reply({kind: 'granted'});
      } else {
        unserved.push(admission);
      }
    }
    if (share === undefined || (lentCount > 0 && unserved.length === 0)) return;
    if (lentCount > 0) {
      this.waiting.set(organisationId, unserved);
      this.borrow(organisationId, unserved.length);
      return;
    }
    this.exhaustedIds.add(organisationId);
    for (const {reply} of unserved) reply(this.getRefusal(share));
  }

  /** Publishes the uses before the next tick, so that in a surge peers have them when they recalculate their shares. */
  private publishUsesEarly(): void {
    if (
      this.hasPublishedEarly ||
      this.nowMs() < this.lastTickAtMs + EARLY_PUBLISH_DELAY_MS
    )
      return;
    this.hasPublishedEarly = true;
    this.publishUses();
  }

  private getRefusal(share: shares.OrganisationShare): messages.ShareResult {
    const refusedCount = this.refusedCounts.get(share.organisationId) ?? 0;
    this.refusedCounts.set(share.organisationId, refusedCount + 1);
    // The next tick recalculates the share; retries are spread over the interval between that tick and the next one.
    const waitMs = UPDATE_INTERVAL_MS * (1 + this.random.draw());
    return {
      kind: 'refused',
      retryAtMs: this.lastTickAtMs + waitMs,
      limitPerSecond: share.limitPerSecond,
      reason: share.describe(),
    };
  }

  private logRefusals(): void {
    for (const [organisationId, refusedCount] of this.refusedCounts) {
      const share = this.shares.get(organisationId);
      if (share === undefined) continue;
      this.log('info', 'limitReached', {
        organisation: organisationId,
        refused: refusedCount,
        ...share.getStatistics(this.nowMs()),
      });
    }
    this.refusedCounts.clear();
  }
}

const NO_USE: entry.LimitUse = {
  demandPerSecond: 0,
  admittedCount: 0,
  leavingCount: 0,
};
