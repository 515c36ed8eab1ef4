import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as fleetViews from '../fleet/FleetView.js';
import * as peersService from '../peers/PeersMessage.js';
import type * as buckets from './BucketTable.js';
import type * as homes from './HomeTable.js';

/** How long in milliseconds after a loan was asked for it is renewed. */
const RENEWAL_MS = 750;

const CALL_TIMEOUT_MS = 800;

interface Lender {
  /** Grows by one with each request to the lender. */
  readonly loanSequence: number;

  /** Whether a request is under way, so that no other may overtake it. */
  readonly isBusy: boolean;

  /** Monotonic time in milliseconds at which the last loan was asked for. */
  readonly askedAtMs: number;
}

const NEW_LENDER: Lender = {loanSequence: 0, isBusy: false, askedAtMs: 0};

/** Gathers the shares of the organisations whose home this process is, and gives others back. */
export class LoanManager {
  private readonly buckets: buckets.BucketTable;
  private readonly homes: homes.HomeTable;
  private readonly lenders = new Map<string, Lender>();
  private context: kernel.TaskContext | undefined;

  /** @param table The buckets that loans go into. */
  constructor(table: buckets.BucketTable, homeTable: homes.HomeTable) {
    this.buckets = table;
    this.homes = homeTable;
  }

  /** Gives the manager its clock and services. */
  start(context: kernel.TaskContext): void {
    this.context = context;
  }

  /** Asks for and renews loans where this process is home, and returns the others. */
  update(
    view: fleetViews.FleetView,
    isSelfFresh: boolean,
    nowMs: number,
  ): void {
    for (const holder of view.liveHolders) {
      if (holder.processId === view.self.processId) continue;
      const lender = this.lenders.get(holder.processId) ?? NEW_LENDER;
      if (lender.isBusy) continue;
      const returned = this.takeReturned(view, holder, nowMs);
      if (returned.length > 0) {
        this.sendReturn(view, holder, lender, returned);
        continue;
      }
      if (isSelfFresh && nowMs - lender.askedAtMs >= RENEWAL_MS)
        this.sendBorrow(view, holder, lender, nowMs);
    }
  }

  private takeReturned(
    view: fleetViews.FleetView,
    holder: fleetViews.LiveHolder,
    nowMs: number,
  ): readonly peers.LoanEntry[] {
    const lenderProcessId = holder.processId;
    return this.buckets.getOrganisationIds().flatMap(organisationId => {
      const state = this.buckets.get(organisationId);
      const isBorrowed = state?.shares.some(
        share => share.lenderProcessId === lenderProcessId,
      );
      if (!isBorrowed || this.homes.isHome(organisationId, view.self.processId))
        return [];
      const event = {kind: 'giveBack', lenderProcessId} as const;
      const outcome = this.buckets.decide(organisationId, event, nowMs);
      if (outcome?.kind !== 'moved' || outcome.slotIndexes.length === 0)
        return [];
      const {slotIndexes, levelTokens} = outcome;
      return [{organisationId, slotIndexes, levelTokens}];
    });
  }

  private sendReturn(
    view: fleetViews.FleetView,
    holder: fleetViews.LiveHolder,
    lender: Lender,
    entries: readonly peers.LoanEntry[],
  ): void {
    const {loanSequence} = lender;
    this.lenders.set(holder.processId, {...lender, isBusy: true});
    const request: peers.PeerRequest = {
      kind: 'returnShares',
      borrowerProcessId: view.self.processId,
      loanSequence,
      entries,
    };
    void this.call(holder, request).then(() => this.setIdle(holder));
  }

  private sendBorrow(
    view: fleetViews.FleetView,
    holder: fleetViews.LiveHolder,
    lender: Lender,
    nowMs: number,
  ): void {
    const entries = this.buckets
      .getOrganisationIds()
      .filter(organisationId =>
        this.homes.isHome(organisationId, view.self.processId),
      )
      .map(organisationId => ({organisationId}));
    if (entries.length === 0) return;
    const loanSequence = lender.loanSequence + 1;
    this.lenders.set(holder.processId, {
      loanSequence,
      isBusy: true,
      askedAtMs: nowMs,
    });
    const request: peers.PeerRequest = {
      kind: 'borrowShares',
      borrowerProcessId: view.self.processId,
      loanSequence,
      termMs: decisions.LOAN_TERM_MS,
      entries,
    };
    void this.call(holder, request).then(result => {
      this.setIdle(holder);
      if (result.kind === 'answered' && result.answer.kind === 'loans')
        this.noteLoans(holder, result.answer.entries, nowMs);
    });
  }

  /** The loan ends here, counted from when it was asked for, before it ends at the lender. */
  private noteLoans(
    holder: fleetViews.LiveHolder,
    entries: readonly peers.LoanEntry[],
    askedAtMs: number,
  ): void {
    const nowMs = this.getContext().clock.monotonicMs();
    const deadlineMs = askedAtMs + decisions.LOAN_TERM_MS;
    for (const {organisationId, slotIndexes, levelTokens} of entries)
      this.buckets.decide(
        organisationId,
        {
          kind: 'borrow',
          lenderProcessId: holder.processId,
          slotIndexes,
          levelTokens,
          deadlineMs,
        },
        nowMs,
      );
  }

  private setIdle(holder: fleetViews.LiveHolder): void {
    const lender = this.lenders.get(holder.processId) ?? NEW_LENDER;
    this.lenders.set(holder.processId, {...lender, isBusy: false});
  }

  private async call(
    holder: fleetViews.LiveHolder,
    request: peers.PeerRequest,
  ): Promise<peersService.CallResult> {
    const {services, clock} = this.getContext();
    return await services
      .getOrThrow(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: holder.peersAddress,
        request,
        deadlineMs: clock.monotonicMs() + CALL_TIMEOUT_MS,
        reply,
      }));
  }

  private getContext(): kernel.TaskContext {
    if (this.context === undefined)
      throw new Error('the loan manager is not started');
    return this.context;
  }
}
