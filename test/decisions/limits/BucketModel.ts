import * as decisions from '../../../src/decisions/index.js';
import * as queues from '../../support/virtual/EventQueue.js';

const CALL_TIMEOUT_MS = 800;

/** The delay of a message in milliseconds; undefined for a lost message. */
export type Delay = number | undefined;

/**
 * One step of a model run. `at` is the index of the process that acts, `from` that of the process that it calls;
 * `request`, `answer` and `settle` are the delays of the messages between them.
 */
export type Step =
  /** Processes borrow shares where they are the home and return loans where they are not; then time passes. */
  | {
      readonly kind: 'wait';
      readonly durationMs: number;
      readonly request: Delay;
      readonly answer: Delay;
    }
  /** A process regards `home` as the home of the organisation from now on. */
  | {readonly kind: 'home'; readonly at: number; readonly home: number}
  /** A process admits up to `count` requests. */
  | {readonly kind: 'admit'; readonly at: number; readonly count: number}
  /** A process asks another one for tokens, spends them if they arrive in time and reports the unspent ones. */
  | {
      readonly kind: 'takeTokens';
      readonly at: number;
      readonly from: number;
      readonly tokens: number;
      readonly request: Delay;
      readonly answer: Delay;
      readonly settle: Delay;
    }
  /** A process ends, which the others notice at once; only the first such step has an effect. */
  | {readonly kind: 'die'; readonly at: number};

/** A call to borrow or return shares, with the delays of its request and of its answer. */
interface LoanCall {
  readonly at: number;
  readonly from: number;
  readonly request: Delay;
  readonly answer: Delay;
}

/** The loan calls of one process to another. */
interface Link {
  /** The sequence number of the latest loan request. */
  readonly sequence: number;

  /** Time in milliseconds at which the call under way times out; 0 without one. */
  readonly busyUntilMs: number;
}

/**
 * A model of one organisation's buckets at several processes, which exchange loans and grants and may end. Messages may
 * be late or lost.
 */
export class BucketModel {
  private readonly limits: decisions.BucketLimits;
  private readonly buckets: decisions.BucketState[];
  private readonly queue = new queues.EventQueue();
  private readonly links = new Map<string, Link>();
  private readonly dead = new Set<number>();

  /** For each process, the index of the process that it regards as the home of the organisation. */
  private readonly homes: number[];

  private timeMs = 0;
  private sequence = 0;

  /** The times in milliseconds at which any process admitted a request. */
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

  /** Runs one step. */
  step(step: Step): void {
    switch (step.kind) {
      case 'wait':
        this.exchangeLoans(step);
        this.wait(step.durationMs);
        return;
      case 'home':
        this.homes[step.at] = step.home;
        return;
      case 'admit':
        for (let index = 0; index < step.count; index += 1) this.admit(step.at);
        return;
      case 'takeTokens':
        this.requestTokens(step);
        return;
      case 'die':
        this.die(step.at);
        return;
    }
  }

  private exchangeLoans(step: Extract<Step, {kind: 'wait'}>): void {
    const {request, answer} = step;
    for (let at = 0; at < this.limits.slotCount; at += 1)
      for (let from = 0; from < this.limits.slotCount; from += 1) {
        const call = {at, from, request, answer};
        if (this.homes[at] === at) this.borrow(call);
        else this.returnLoan(call);
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

  private schedule(delay: Delay, action: () => void): void {
    if (delay === undefined) return;
    const atMs = this.timeMs + delay;
    this.queue.add({atMs, sequence: this.sequence++, action});
  }

  private decide(
    at: number,
    event: decisions.BucketEvent,
  ): decisions.BucketOutcome {
    const {state, outcome} = decisions.applyBucketEvent(
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

  /** Gets the link between two processes; undefined if a call is under way on it or the caller can't make one. */
  private getIdleLink(at: number, from: number): Link | undefined {
    const link = this.links.get(`${at} ${from}`);
    if (this.dead.has(at) || at === from) return undefined;
    if (link !== undefined && link.busyUntilMs > this.timeMs) return undefined;
    return link ?? {sequence: 0, busyUntilMs: 0};
  }

  /** Marks the link as busy; the result marks it as idle again and returns whether the call ended in time. */
  private startCall(at: number, from: number, sequence: number): () => boolean {
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
    const finishCall = this.startCall(at, from, loanSequence);
    this.schedule(step.request, () => {
      if (this.dead.has(from) || this.dead.has(at)) return;
      const loan = this.decide(from, {
        kind: 'lend',
        borrowerProcessId: String(at),
        loanSequence,
        deadlineMs:
          this.timeMs +
          decisions.LOAN_TERM_MS +
          decisions.CLOCK_DRIFT_MARGIN_MS,
      });
      if (loan.kind !== 'sharesMoved') return;
      this.schedule(step.answer, () => {
        if (!finishCall()) return;
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

  private returnLoan(step: LoanCall): void {
    const {at, from} = step;
    const link = this.getIdleLink(at, from);
    if (link === undefined) return;
    const lenderProcessId = String(from);
    const returnedLoan = this.decide(at, {kind: 'returnLoan', lenderProcessId});
    if (
      returnedLoan.kind !== 'sharesMoved' ||
      returnedLoan.slotIndexes.length === 0
    )
      return;
    const loanSequence = link.sequence;
    const finishCall = this.startCall(at, from, loanSequence);
    this.schedule(step.request, () => {
      if (this.dead.has(from)) return;
      const {levelTokens} = returnedLoan;
      const borrowerProcessId = String(at);
      this.decide(from, {
        kind: 'reclaimLoan',
        borrowerProcessId,
        loanSequence,
        levelTokens,
      });
      this.schedule(step.answer, () => void finishCall());
    });
  }

  private requestTokens(step: Extract<Step, {kind: 'takeTokens'}>): void {
    const {at, from, tokens} = step;
    if (at === from || this.dead.has(at)) return;
    const sentAtMs = this.timeMs;
    const grantId = String(this.sequence++);
    this.schedule(step.request, () => {
      if (this.dead.has(from)) return;
      const deadlineMs =
        this.timeMs + decisions.GRANT_TERM_MS + decisions.CLOCK_DRIFT_MARGIN_MS;
      const outcome = this.decide(from, {
        kind: 'grant',
        grantId,
        tokens,
        deadlineMs,
      });
      if (outcome.kind !== 'granted') return;
      this.schedule(step.answer, () => {
        const isLate = this.timeMs >= sentAtMs + decisions.GRANT_TERM_MS;
        if (this.dead.has(at)) return;
        if (!isLate)
          for (let index = 0; index < tokens; index += 1)
            this.admittedAtMs.push(this.timeMs);
        const unspentTokens = isLate ? tokens : 0;
        this.schedule(step.settle, () => {
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
      this.timeMs + decisions.GRANT_TERM_MS + decisions.CLOCK_DRIFT_MARGIN_MS;
    for (let other = 0; other < this.limits.slotCount; other += 1)
      if (other !== at)
        this.decide(other, {
          kind: 'borrowerDied',
          borrowerProcessId: String(at),
          grantsDeadlineMs,
        });
  }
}
