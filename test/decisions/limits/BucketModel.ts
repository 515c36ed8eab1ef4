import * as decisions from '../../../src/decisions/index.js';
import * as queues from '../../support/virtual/EventQueue.js';

const CALL_TIMEOUT_MS = 800;

/** How long in milliseconds a message takes; undefined when it is lost. */
export type Delay = number | undefined;

/** One step of a model run. */
export type Step =
  /** Homes borrow, others give back, and then time passes. */
  | {
      readonly kind: 'wait';
      readonly durationMs: number;
      readonly request: Delay;
      readonly answer: Delay;
    }
  /** A process takes another one to be home from now on. */
  | {readonly kind: 'home'; readonly at: number; readonly home: number}
  | {readonly kind: 'admit'; readonly at: number; readonly count: number}
  | {
      readonly kind: 'take';
      readonly at: number;
      readonly from: number;
      readonly tokens: number;
      readonly request: Delay;
      readonly answer: Delay;
      readonly settle: Delay;
    }
  | {readonly kind: 'die'; readonly at: number};

/** A call of one process to another about loans. */
interface LoanCall {
  readonly at: number;
  readonly from: number;
  readonly request: Delay;
  readonly answer: Delay;
}

interface Link {
  readonly sequence: number;
  readonly busyUntilMs: number;
}

/** Buckets of several processes that lend, grant and die, with messages that are late or lost. */
export class BucketModel {
  private readonly limits: decisions.BucketLimits;
  private readonly buckets: decisions.BucketState[];
  private readonly queue = new queues.EventQueue();
  private readonly links = new Map<string, Link>();
  private readonly dead = new Set<number>();
  private readonly homes: number[];
  private timeMs = 0;
  private sequence = 0;

  /** When requests were admitted, anywhere. */
  readonly admittedAtMs: number[] = [];

  constructor(limits: decisions.BucketLimits) {
    this.limits = limits;
    this.homes = Array.from({length: limits.slotCount}, () => 0);
    this.buckets = Array.from({length: limits.slotCount}, () =>
      decisions.getEmptyBucket(0),
    );
    this.buckets.forEach((bucket, slotIndex) =>
      this.decide(slotIndex, {
        kind: 'control',
        slots: [{slotIndex, usableFromMs: 0, isUnused: true}],
      }),
    );
  }

  /** Carries out one step. */
  step(step: Step): void {
    switch (step.kind) {
      case 'wait':
        this.update(step);
        this.wait(step.durationMs);
        return;
      case 'home':
        this.homes[step.at] = step.home;
        return;
      case 'admit':
        for (let each = 0; each < step.count; each += 1) this.admit(step.at);
        return;
      case 'take':
        this.take(step);
        return;
      case 'die':
        this.die(step.at);
        return;
    }
  }

  private update(step: Extract<Step, {kind: 'wait'}>): void {
    const {request, answer} = step;
    for (let at = 0; at < this.limits.slotCount; at += 1)
      for (let from = 0; from < this.limits.slotCount; from += 1) {
        const call = {at, from, request, answer};
        if (this.homes[at] === at) this.borrow(call);
        else this.giveBack(call);
      }
  }

  private wait(durationMs: number): void {
    const endMs = this.timeMs + durationMs;
    for (;;) {
      const event = this.queue.peek();
      if (event === undefined || event.atMs > endMs) break;
      this.queue.remove();
      this.timeMs = event.atMs;
      event.action();
    }
    this.timeMs = endMs;
  }

  private later(delay: Delay, action: () => void): void {
    if (delay === undefined) return;
    const atMs = this.timeMs + delay;
    this.queue.add({atMs, sequence: this.sequence++, action});
  }

  private decide(
    at: number,
    event: decisions.BucketEvent,
  ): decisions.BucketOutcome {
    const {state, outcome} = decisions.decideBucket(
      this.buckets[at],
      this.limits,
      event,
      this.timeMs,
    );
    this.buckets[at] = state;
    return outcome;
  }

  private admit(at: number): void {
    if (this.dead.has(at)) return;
    const outcome = this.decide(at, {kind: 'admit', tokens: 1});
    if (outcome.kind === 'granted') this.admittedAtMs.push(this.timeMs);
  }

  /** Gets the link when no call is under way on it. */
  private getIdleLink(at: number, from: number): Link | undefined {
    const link = this.links.get(`${at} ${from}`);
    if (this.dead.has(at) || at === from) return undefined;
    if (link !== undefined && link.busyUntilMs > this.timeMs) return undefined;
    return link ?? {sequence: 0, busyUntilMs: 0};
  }

  private setLink(at: number, from: number, sequence: number): () => boolean {
    const busyUntilMs = this.timeMs + CALL_TIMEOUT_MS;
    const link = {sequence, busyUntilMs};
    this.links.set(`${at} ${from}`, link);
    return () => {
      const isInTime = this.timeMs < busyUntilMs && !this.dead.has(at);
      if (isInTime && this.links.get(`${at} ${from}`) === link)
        this.links.set(`${at} ${from}`, {sequence, busyUntilMs: 0});
      return isInTime;
    };
  }

  private borrow(step: LoanCall): void {
    const {at, from} = step;
    const link = this.getIdleLink(at, from);
    if (link === undefined) return;
    const sentAtMs = this.timeMs;
    const loanSequence = link.sequence + 1;
    const finish = this.setLink(at, from, loanSequence);
    this.later(step.request, () => {
      if (this.dead.has(from) || this.dead.has(at)) return;
      const loan = this.decide(from, {
        kind: 'lend',
        borrowerProcessId: String(at),
        loanSequence,
        deadlineMs:
          this.timeMs + decisions.LOAN_TERM_MS + decisions.DRIFT_MARGIN_MS,
      });
      if (loan.kind !== 'moved') return;
      this.later(step.answer, () => {
        if (!finish()) return;
        const {slotIndexes, levelTokens} = loan;
        this.decide(at, {
          kind: 'borrow',
          lenderProcessId: String(from),
          slotIndexes,
          levelTokens,
          deadlineMs: sentAtMs + decisions.LOAN_TERM_MS,
        });
      });
    });
  }

  private giveBack(step: LoanCall): void {
    const {at, from} = step;
    const link = this.getIdleLink(at, from);
    if (link === undefined) return;
    const lenderProcessId = String(from);
    const moved = this.decide(at, {kind: 'giveBack', lenderProcessId});
    if (moved.kind !== 'moved' || moved.slotIndexes.length === 0) return;
    const loanSequence = link.sequence;
    const finish = this.setLink(at, from, loanSequence);
    this.later(step.request, () => {
      if (this.dead.has(from)) return;
      const {levelTokens} = moved;
      const borrowerProcessId = String(at);
      this.decide(from, {
        kind: 'takeBack',
        borrowerProcessId,
        loanSequence,
        levelTokens,
      });
      this.later(step.answer, () => void finish());
    });
  }

  private take(step: Extract<Step, {kind: 'take'}>): void {
    const {at, from, tokens} = step;
    if (at === from || this.dead.has(at)) return;
    const sentAtMs = this.timeMs;
    const grantId = String(this.sequence++);
    this.later(step.request, () => {
      if (this.dead.has(from)) return;
      const deadlineMs =
        this.timeMs + decisions.GRANT_TERM_MS + decisions.DRIFT_MARGIN_MS;
      const outcome = this.decide(from, {
        kind: 'grant',
        grantId,
        tokens,
        deadlineMs,
      });
      if (outcome.kind !== 'granted') return;
      this.later(step.answer, () => {
        const isLate = this.timeMs >= sentAtMs + decisions.GRANT_TERM_MS;
        if (this.dead.has(at)) return;
        if (!isLate)
          for (let each = 0; each < tokens; each += 1)
            this.admittedAtMs.push(this.timeMs);
        const unspentTokens = isLate ? tokens : 0;
        this.later(step.settle, () => {
          if (this.dead.has(from)) return;
          this.decide(from, {kind: 'settle', grantId, unspentTokens});
        });
      });
    });
  }

  private die(at: number): void {
    if (this.dead.size > 0) return;
    this.dead.add(at);
    const grantsDeadlineMs =
      this.timeMs + decisions.GRANT_TERM_MS + decisions.DRIFT_MARGIN_MS;
    for (let other = 0; other < this.limits.slotCount; other += 1)
      if (other !== at)
        this.decide(other, {
          kind: 'borrowerDied',
          borrowerProcessId: String(at),
          grantsDeadlineMs,
        });
  }
}
