import * as crypto from 'node:crypto';
import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as fleetService from '../fleet/FleetMessage.js';
import type * as fleetViews from '../fleet/FleetView.js';
import * as peersService from '../peers/PeersMessage.js';
import type * as homes from './HomeTable.js';
import type * as messages from './LimitsMessage.js';

/** The number of calls to a home that may be pending at the same time for one organisation. */
const MAX_PENDING_CALLS = 4;

const CALL_TIMEOUT_MS = 400;

type Admission = Extract<messages.LimitsMessage, {kind: 'admit'}>;

interface AdmissionQueue {
  readonly organisationId: string;
  waiting: Admission[];
  pendingCallCount: number;
}

/** Requests tokens from the organisations' homes, one for each waiting request. */
export class RemoteTokenClient {
  private readonly homeTable: homes.HomeTable;
  private readonly queues = new Map<string, AdmissionQueue>();
  private context: kernel.TaskContext | undefined;

  /** @param homeTable The homes of organisations. */
  constructor(homeTable: homes.HomeTable) {
    this.homeTable = homeTable;
  }

  /** Sets the context from which the client gets its clock and services. */
  start(context: kernel.TaskContext): void {
    this.context = context;
  }

  /** Queues an admission; the reply is sent after the home has answered. */
  admit(admission: Admission): void {
    const {organisationId} = admission;
    const queue = this.queues.get(organisationId) ?? {
      organisationId,
      waiting: [],
      pendingCallCount: 0,
    };
    this.queues.set(organisationId, queue);
    queue.waiting.push(admission);
    if (queue.waiting.length === 1) queueMicrotask(() => this.send(queue));
  }

  /** Sends waiting admissions to their homes, and replies `unavailable` to those whose deadline has passed. */
  retryWaiting(): void {
    const nowMs = this.getContext().clock.monotonicMs();
    for (const queue of this.queues.values()) {
      const expired = queue.waiting.filter(
        admission => admission.deadlineMs <= nowMs,
      );
      queue.waiting = queue.waiting.filter(
        admission => admission.deadlineMs > nowMs,
      );
      for (const admission of expired) admission.reply({kind: 'unavailable'});
      this.send(queue);
    }
  }

  private send(queue: AdmissionQueue): void {
    if (
      queue.waiting.length === 0 ||
      queue.pendingCallCount >= MAX_PENDING_CALLS
    )
      return;
    const home = this.homeTable.getHome(queue.organisationId);
    if (home === undefined) return;
    const batch = queue.waiting;
    queue.waiting = [];
    queue.pendingCallCount += 1;
    void this.call(queue, home, batch).then(isAnswered => {
      queue.pendingCallCount -= 1;
      if (isAnswered) this.send(queue);
    });
  }

  /** Requests tokens for a batch; returns whether the home answered. If not, the batch waits for the next tick. */
  private async call(
    queue: AdmissionQueue,
    home: fleetViews.LiveHolder,
    batch: readonly Admission[],
  ): Promise<boolean> {
    const {services, clock} = this.getContext();
    const {organisationId} = queue;
    const grantId = crypto.randomUUID();
    const sentAtMs = clock.monotonicMs();
    const result = await services
      .getOrThrow(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: home.peersAddress,
        request: {
          kind: 'takeTokens',
          organisationId,
          grantId,
          tokens: batch.length,
          termMs: decisions.GRANT_TERM_MS,
        },
        deadlineMs: sentAtMs + CALL_TIMEOUT_MS,
        reply,
      }));
    if (result.kind !== 'answered' || result.answer.kind !== 'tokens') {
      this.handleFailedCall(queue, home, batch, result);
      return false;
    }
    const hasExpired =
      clock.monotonicMs() >= sentAtMs + decisions.GRANT_TERM_MS;
    const usedTokens = hasExpired ? 0 : result.answer.grantedTokens;
    this.settleGrant(
      home,
      organisationId,
      grantId,
      result.answer.grantedTokens - usedTokens,
    );
    const retryAtMs = clock.monotonicMs() + result.answer.retryAfterMs;
    batch.forEach((admission, index) =>
      admission.reply(
        index < usedTokens ? {kind: 'granted'} : {kind: 'refused', retryAtMs},
      ),
    );
    return true;
  }

  /** Puts the batch back into the queue, so that it is sent again, to a new home if the previous one has died. */
  private handleFailedCall(
    queue: AdmissionQueue,
    home: fleetViews.LiveHolder,
    batch: readonly Admission[],
    result: peersService.CallResult,
  ): void {
    queue.waiting = [...batch, ...queue.waiting];
    if (result.kind !== 'connectionRefused') return;
    const {processId} = home;
    this.getContext()
      .services.getOrThrow(fleetService.FLEET)
      .post({kind: 'processDied', processId});
  }

  private settleGrant(
    home: fleetViews.LiveHolder,
    organisationId: string,
    grantId: string,
    unspentTokens: number,
  ): void {
    const {services, clock} = this.getContext();
    void services
      .getOrThrow(peersService.PEERS)
      .ask<peersService.CallResult>(reply => ({
        kind: 'call',
        peersAddress: home.peersAddress,
        request: {kind: 'settleTokens', organisationId, grantId, unspentTokens},
        deadlineMs: clock.monotonicMs() + CALL_TIMEOUT_MS,
        reply,
      }));
  }

  private getContext(): kernel.TaskContext {
    if (this.context === undefined)
      throw new Error('the remote token client is not started');
    return this.context;
  }
}
