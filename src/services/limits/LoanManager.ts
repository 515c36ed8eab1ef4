import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import type * as peers from '../../model/peers/index.js';
import type * as fleetViews from '../fleet/FleetView.js';
import * as peersService from '../peers/PeersMessage.js';
import type * as buckets from './BucketTable.js';
import type * as homes from './HomeTable.js';

/** The interval in milliseconds between two requests for a loan from the same process. */
const RENEWAL_INTERVAL_MS = 750;

const CALL_TIMEOUT_MS = 800;

interface LenderState {
  /** Increases by one with each request for a loan from this lender. */
  readonly loanSequence: number;

  /** Whether a call to the lender is pending; no other is sent meanwhile, as it could overtake the first. */
  readonly isCallPending: boolean;

  /** Monotonic time in milliseconds at which the last loan was requested. */
  readonly requestedAtMs: number;
}

const NEW_LENDER_STATE: LenderState = {
  loanSequence: 0,
  isCallPending: false,
  requestedAtMs: 0,
};

/** Borrows from other processes the shares of organisations whose home this process is, and returns all others. */
export class LoanManager {
  private readonly bucketTable: buckets.BucketTable;
  private readonly homeTable: homes.HomeTable;
  private readonly lenderStates = new Map<string, LenderState>();
  private context: kernel.TaskContext | undefined;

  /**
   * @param table The buckets to which borrowed shares are added.
   * @param homeTable The homes of organisations.
   */
  constructor(table: buckets.BucketTable, homeTable: homes.HomeTable) {
    this.bucketTable = table;
    this.homeTable = homeTable;
  }

  /** Sets the context from which the manager gets its clock and services. */
  start(context: kernel.TaskContext): void {
    this.context = context;
  }

  /**
   * Requests or renews loans for the organisations whose home this process is, and returns the borrowed shares
   * of all other organisations.
   *
   * @param fleetView The processes that hold slots.
   * @param isViewFresh Whether `fleetView` is recent enough to request loans.
   * @param nowMs The current monotonic time in milliseconds.
   */
  update(
    fleetView: fleetViews.FleetView,
    isViewFresh: boolean,
    nowMs: number,
  ): void {
    for (const holder of fleetView.liveHolders) {
      if (holder.processId === fleetView.self.processId) continue;
      const lenderState =
        this.lenderStates.get(holder.processId) ?? NEW_LENDER_STATE;
      if (lenderState.isCallPending) continue;
      const returnedEntries = this.removeReturnableShares(
        fleetView,
        holder,
        nowMs,
      );
      if (returnedEntries.length > 0) {
        this.sendReturnRequest(fleetView, holder, lenderState, returnedEntries);
        continue;
      }
      if (
        isViewFresh &&
        nowMs - lenderState.requestedAtMs >= RENEWAL_INTERVAL_MS
      )
        this.sendBorrowRequest(fleetView, holder, lenderState, nowMs);
    }
  }

  private removeReturnableShares(
    fleetView: fleetViews.FleetView,
    holder: fleetViews.LiveHolder,
    nowMs: number,
  ): readonly peers.LoanEntry[] {
    const lenderProcessId = holder.processId;
    return this.bucketTable.getOrganisationIds().flatMap(organisationId => {
      const state = this.bucketTable.getBucket(organisationId);
      const isBorrowed = state?.shares.some(
        share => share.lenderProcessId === lenderProcessId,
      );
      if (
        !isBorrowed ||
        this.homeTable.isHome(organisationId, fleetView.self.processId)
      )
        return [];
      const event = {kind: 'returnLoan', lenderProcessId} as const;
      const outcome = this.bucketTable.decide(organisationId, event, nowMs);
      if (outcome?.kind !== 'sharesMoved' || outcome.slotIndexes.length === 0)
        return [];
      const {slotIndexes, levelTokens} = outcome;
      return [{organisationId, slotIndexes, levelTokens}];
    });
  }

  private sendReturnRequest(
    fleetView: fleetViews.FleetView,
    holder: fleetViews.LiveHolder,
    lenderState: LenderState,
    entries: readonly peers.LoanEntry[],
  ): void {
    const {loanSequence} = lenderState;
    this.lenderStates.set(holder.processId, {
      ...lenderState,
      isCallPending: true,
    });
    const request: peers.PeerRequest = {
      kind: 'returnShares',
      borrowerProcessId: fleetView.self.processId,
      loanSequence,
      entries,
    };
    void this.call(holder, request).then(() => this.setCallFinished(holder));
  }

  private sendBorrowRequest(
    fleetView: fleetViews.FleetView,
    holder: fleetViews.LiveHolder,
    lenderState: LenderState,
    nowMs: number,
  ): void {
    const entries = this.bucketTable
      .getOrganisationIds()
      .filter(organisationId =>
        this.homeTable.isHome(organisationId, fleetView.self.processId),
      )
      .map(organisationId => ({organisationId}));
    if (entries.length === 0) return;
    const loanSequence = lenderState.loanSequence + 1;
    this.lenderStates.set(holder.processId, {
      loanSequence,
      isCallPending: true,
      requestedAtMs: nowMs,
    });
    const request: peers.PeerRequest = {
      kind: 'borrowShares',
      borrowerProcessId: fleetView.self.processId,
      loanSequence,
      termMs: decisions.LOAN_TERM_MS,
      entries,
    };
    void this.call(holder, request).then(result => {
      this.setCallFinished(holder);
      if (result.kind === 'answered' && result.answer.kind === 'loans')
        this.addLoans(holder, result.answer.entries, nowMs);
    });
  }

  /** Adds lent shares. Their term starts here when they were requested, so that it ends before the lender's does. */
  private addLoans(
    holder: fleetViews.LiveHolder,
    entries: readonly peers.LoanEntry[],
    requestedAtMs: number,
  ): void {
    const nowMs = this.getContext().clock.monotonicMs();
    const deadlineMs = requestedAtMs + decisions.LOAN_TERM_MS;
    for (const {organisationId, slotIndexes, levelTokens} of entries)
      this.bucketTable.decide(
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

  private setCallFinished(holder: fleetViews.LiveHolder): void {
    const lenderState =
      this.lenderStates.get(holder.processId) ?? NEW_LENDER_STATE;
    this.lenderStates.set(holder.processId, {
      ...lenderState,
      isCallPending: false,
    });
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
