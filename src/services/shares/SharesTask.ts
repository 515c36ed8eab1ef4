import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as base from '../base/index.js';
import * as knowledgeService from '../knowledge/KnowledgeMessage.js';
import * as membersService from '../members/MembersMessage.js';
import * as peersService from '../peers/PeersMessage.js';
import * as shares from './OrganisationShare.js';
import type * as messages from './SharesMessage.js';

/** How often in milliseconds the use of limits is told. */
const TICK_MS = 1000;

/** How long in milliseconds after a tick the use is told once more at the earliest. */
const EARLY_TELL_MS = 100;

/** Requests beyond its part for which a VM asks the lender between two ticks only in a surge. */
const SURGE_BORROW_COUNT = 2;

/** How long in milliseconds a lender's answer is waited for: a round trip between far regions, and as much again. */
const LEND_TIMEOUT_MS = 150;

/** A request that wants to be admitted. */
type Admission = Extract<messages.SharesMessage, {kind: 'admit'}>;

/** Admits requests within this VM's share of each organisation's limit. */
export class SharesTask extends base.ServiceTask<messages.SharesMessage> {
  private readonly shares = new Map<string, shares.OrganisationShare>();
  private readonly bounds: shares.LimitBounds;
  private readonly random: base.RandomSource;

  /** Whether the use was told once more since the last tick, as a part did not suffice. */
  private isToldEarly = false;

  /** How many requests of each organisation were refused since the last tick. */
  private readonly refusedCounts = new Map<string, number>();

  /** How often each organisation's lender was asked since the last tick. */
  private readonly borrowCounts = new Map<string, number>();

  /** Requests of each organisation that wait for its lender's answer. */
  private readonly waiting = new Map<string, Admission[]>();

  /** Organisations whose lender had nothing left, or did not answer, since the last tick. */
  private readonly lentOut = new Set<string>();
  private organisations: readonly entry.EntryOrganisation[] = [];
  private limitedIds: readonly string[] = [];
  private organisationsDigest = 0;
  private view: membersService.MembersChanged | undefined;
  private tickedAtMs = 0;

  /**
   * @param bounds How limits are judged.
   * @param seed Draws which VMs admit a request more where parts are below one.
   */
  constructor(bounds: shares.LimitBounds, seed: number) {
    super();
    this.bounds = bounds;
    this.random = new base.RandomSource(seed);
  }

  protected override async onStart(): Promise<void> {
    const subscriber = this.getAddress();
    this.getService(knowledgeService.KNOWLEDGE).post({
      kind: 'subscribeOperatorRows',
      subscriber,
    });
    this.getService(membersService.MEMBERS).post({
      kind: 'subscribe',
      subscriber,
    });
    this.postEvery(TICK_MS, {kind: 'tick'});
  }

  protected override receive(message: messages.SharesMessage): void {
    switch (message.kind) {
      case 'operatorRowsChanged':
        this.setOrganisations(message.rows.configuration.organisations);
        return;
      case 'membersChanged':
        this.setView(message);
        return;
      case 'admit':
        this.admit(message);
        return;
      case 'lend':
        message.reply(this.lend(message.organisationId, message.wantedCount));
        return;
      case 'lent':
        this.noteLent(message);
        return;
      case 'tick':
        this.tick();
        return;
      default:
        errors.throwUnreachable(message);
    }
  }

  private setView(view: membersService.MembersChanged): void {
    const wereOthersKnown = this.view?.isPeerCountKnown;
    this.view = view;
    if (wereOthersKnown !== view.isPeerCountKnown) this.update(() => true);
  }

  private setOrganisations(
    organisations: readonly entry.EntryOrganisation[],
  ): void {
    if (organisations === this.organisations) return;
    this.organisations = organisations;
    const nowMs = this.nowMs();
    const named = new Set<string>();
    const changed = new Set<string>();
    for (const organisation of organisations) {
      const {organisationId} = organisation;
      named.add(organisationId);
      const known = this.shares.get(organisationId);
      if (known === undefined) {
        this.shares.set(
          organisationId,
          new shares.OrganisationShare(organisation, this.bounds, nowMs),
        );
        changed.add(organisationId);
      } else if (known.setOrganisation(organisation)) {
        changed.add(organisationId);
      }
    }
    for (const organisationId of this.shares.keys())
      if (!named.has(organisationId)) this.shares.delete(organisationId);
    this.limitedIds = organisations
      .filter(organisation => organisation.ratePerSecond > 0)
      .map(organisation => organisation.organisationId)
      .sort();
    this.organisationsDigest = decisions.getHash(this.limitedIds.join());
    // Others keep what they have until the next tick: a part is not given twice.
    this.update(organisationId => changed.has(organisationId));
  }

  /** Tells this VM's use to everyone, and works out anew what it may admit. */
  private tick(): void {
    const nowMs = this.nowMs();
    this.tickedAtMs = nowMs;
    this.logRefusals();
    this.lentOut.clear();
    this.borrowCounts.clear();
    this.isToldEarly = false;
    this.tell();
    this.update(() => true);
  }

  /** Tells this VM's use to everyone. */
  private tell(): void {
    const nowMs = this.nowMs();
    let isComplete = true;
    const uses = this.limitedIds.map(organisationId => {
      const share = this.shares.get(organisationId);
      isComplete &&= share?.isComplete(nowMs) ?? false;
      return share?.measure(nowMs) ?? NO_USE;
    });
    const {organisationsDigest} = this;
    this.getService(membersService.MEMBERS).post({
      kind: 'publishLimitUses',
      limitUses: {organisationsDigest, isComplete, uses},
    });
  }

  /** Works out anew what this VM may admit of the chosen organisations. */
  private update(isChosen: (organisationId: string) => boolean): void {
    const nowMs = this.nowMs();
    const {view} = this;
    if (view?.isPeerCountKnown !== true) return;
    const memberCount = view.otherCount + 1;
    const {isConnected} = view;
    const reports = view.statuses
      .map(status => status.limitUses)
      .filter(
        report => report?.organisationsDigest === this.organisationsDigest,
      );
    const complete = reports.filter(report => report?.isComplete === true);
    const young = reports.filter(report => report?.isComplete !== true);
    for (const [index, organisationId] of this.limitedIds.entries()) {
      if (!isChosen(organisationId)) continue;
      const others: shares.OthersUse = {
        memberCount,
        isConnected,
        completeUses: complete.map(report => report?.uses[index] ?? NO_USE),
        youngUses: young.map(report => report?.uses[index] ?? NO_USE),
      };
      this.shares
        .get(organisationId)
        ?.update(others, this.random.draw(), nowMs);
    }
  }

  private admit(admission: Admission): void {
    const {organisationId, abandoned, reply} = admission;
    if (abandoned.aborted) {
      reply({kind: 'abandoned'});
      return;
    }
    const share = this.shares.get(organisationId);
    if (share === undefined || share.take(this.nowMs())) {
      reply({kind: 'granted'});
      return;
    }
    if (this.lentOut.has(organisationId)) {
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
    return this.shares.get(organisationId)?.lend(wantedCount) ?? 0;
  }

  /** Asks the organisation's lender for as many requests as will come soon. */
  private borrow(organisationId: string, leastCount: number): void {
    const borrowCount = (this.borrowCounts.get(organisationId) ?? 0) + 1;
    this.borrowCounts.set(organisationId, borrowCount);
    if (borrowCount >= SURGE_BORROW_COUNT) this.tellEarly();
    const share = this.shares.get(organisationId);
    const wantedCount = Math.max(leastCount, share?.wantedCount ?? 1);
    const post = (lentCount: number) =>
      this.getAddress().post({kind: 'lent', organisationId, lentCount});
    const lender = decisions.chooseLender(
      this.view?.serving ?? [],
      organisationId,
    );
    if (lender === undefined || lender.vmId === this.view?.selfId) {
      post(this.lend(organisationId, wantedCount));
      return;
    }
    void this.getService(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: lender.peersAddress,
        request: {kind: 'borrowRequests', organisationId, wantedCount},
        deadlineMs: this.nowMs() + LEND_TIMEOUT_MS,
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

  /** Lets those run that waited, as far as what was lent goes, and asks once more for the rest. */
  private noteLent(
    message: Extract<messages.SharesMessage, {kind: 'lent'}>,
  ): void {
    const {organisationId, lentCount} = message;
    const waiting = this.waiting.get(organisationId) ?? [];
    this.waiting.delete(organisationId);
    const share = this.shares.get(organisationId);
    share?.addBorrowed(lentCount);
    const nowMs = this.nowMs();
    const left: Admission[] = [];
    for (const admission of waiting) {
      const {abandoned, reply} = admission;
      if (abandoned.aborted) {
        reply({kind: 'abandoned'});
      } else if (share === undefined || share.takeBorrowed(nowMs)) {
        if (share !== undefined) this.count('requests_borrowed');
        reply({kind: 'granted'});
      } else {
        left.push(admission);
      }
    }
    if (share === undefined || (lentCount > 0 && left.length === 0)) return;
    if (lentCount > 0) {
      this.waiting.set(organisationId, left);
      this.borrow(organisationId, left.length);
      return;
    }
    this.lentOut.add(organisationId);
    for (const {reply} of left) reply(this.getRefusal(share));
  }

  /** In a surge the others learn of the use before they work out what they may admit next. */
  private tellEarly(): void {
    if (this.isToldEarly || this.nowMs() < this.tickedAtMs + EARLY_TELL_MS)
      return;
    this.isToldEarly = true;
    this.tell();
  }

  private getRefusal(share: shares.OrganisationShare): messages.ShareResult {
    const refusedCount = this.refusedCounts.get(share.organisationId) ?? 0;
    this.refusedCounts.set(share.organisationId, refusedCount + 1);
    // The next tick brings a new part; callers that come back spread over the time up to the one after it.
    const waitMs = TICK_MS * (1 + this.random.draw());
    return {
      kind: 'refused',
      retryAtMs: this.tickedAtMs + waitMs,
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
        ...share.getFigures(this.nowMs()),
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
