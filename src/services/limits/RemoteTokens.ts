import * as crypto from 'node:crypto';
import * as decisions from '../../decisions/index.js';
import type * as kernel from '../../kernel/index.js';
import * as fleetService from '../fleet/FleetMessage.js';
import type * as fleetViews from '../fleet/FleetView.js';
import * as peersService from '../peers/PeersMessage.js';
import type * as homes from './HomeTable.js';
import type * as messages from './LimitsMessage.js';

/** Requests to a home that may be under way for one organisation at the same time. */
const MAX_CALLS = 4;

const CALL_TIMEOUT_MS = 400;

type Admission = Extract<messages.LimitsMessage, {kind: 'admit'}>;

interface Queue {
  readonly organisationId: string;
  waiting: Admission[];
  callCount: number;
}

/** Asks the homes of organisations for tokens, one for each waiting request. */
export class RemoteTokens {
  private readonly homes: homes.HomeTable;
  private readonly queues = new Map<string, Queue>();
  private context: kernel.TaskContext | undefined;

  /** @param homeTable The homes that tokens are asked of. */
  constructor(homeTable: homes.HomeTable) {
    this.homes = homeTable;
  }

  /** Gives the object its clock and services. */
  start(context: kernel.TaskContext): void {
    this.context = context;
  }

  /** Answers the admission once the home has. */
  admit(admission: Admission): void {
    const {organisationId} = admission;
    const queue = this.queues.get(organisationId) ?? {
      organisationId,
      waiting: [],
      callCount: 0,
    };
    this.queues.set(organisationId, queue);
    queue.waiting.push(admission);
    if (queue.waiting.length === 1) queueMicrotask(() => this.send(queue));
  }

  /** Sends what could not be sent before, and refuses what has waited too long. */
  retryWaiting(): void {
    const nowMs = this.getContext().clock.monotonicMs();
    for (const queue of this.queues.values()) {
      const late = queue.waiting.filter(entry => entry.deadlineMs <= nowMs);
      queue.waiting = queue.waiting.filter(entry => entry.deadlineMs > nowMs);
      for (const admission of late) admission.reply({kind: 'unavailable'});
      this.send(queue);
    }
  }

  private send(queue: Queue): void {
    if (queue.waiting.length === 0 || queue.callCount >= MAX_CALLS) return;
    const home = this.homes.get(queue.organisationId);
    if (home === undefined) return;
    const batch = queue.waiting;
    queue.waiting = [];
    queue.callCount += 1;
    void this.call(queue, home, batch).then(isAnswered => {
      queue.callCount -= 1;
      if (isAnswered) this.send(queue);
    });
  }

  /** Whether the home answered; a batch without an answer waits for the next tick. */
  private async call(
    queue: Queue,
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
      this.noteFailure(queue, home, batch, result);
      return false;
    }
    const isLate = clock.monotonicMs() >= sentAtMs + decisions.GRANT_TERM_MS;
    const spentTokens = isLate ? 0 : result.answer.grantedTokens;
    this.settle(
      home,
      organisationId,
      grantId,
      result.answer.grantedTokens - spentTokens,
    );
    const retryAtMs = clock.monotonicMs() + result.answer.retryAfterMs;
    batch.forEach((admission, index) =>
      admission.reply(
        index < spentTokens ? {kind: 'granted'} : {kind: 'refused', retryAtMs},
      ),
    );
    return true;
  }

  /** Puts the batch back, to be sent to the next home. */
  private noteFailure(
    queue: Queue,
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

  private settle(
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
      throw new Error('the remote tokens are not started');
    return this.context;
  }
}
