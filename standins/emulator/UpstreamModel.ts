/** What the upstreams of a scenario are like. */
export interface UpstreamTraits {
  readonly slotCount: number;

  /** Requests that wait for a slot at most. */
  readonly queueLimit: number;

  /** Objects that are kept warm; the one that was used longest ago is forgotten first. */
  readonly warmObjectCount: number;

  /** The part of a cold run's time that a warm one takes. */
  readonly warmPart: number;
}

/** A request at an upstream. */
export interface ModelRun {
  readonly objectName: string;

  /** How long a cold run takes, in milliseconds. */
  readonly coldWorkMs: number;

  /** The moment of virtual time at which the run is given up, in milliseconds. */
  readonly deadlineMs: number;

  /** Told the end: done, refused or given up. */
  readonly onEnd: (end: 'done' | 'refused' | 'givenUp') => void;
}

/** Runs an action at a moment of virtual time, in milliseconds. */
export type Schedule = (atMs: number, action: () => void) => void;

/** An upstream in virtual time: slots, a queue and objects that it keeps warm. */
export class UpstreamModel {
  private readonly traits: UpstreamTraits;
  private readonly schedule: Schedule;
  private readonly warm = new Set<string>();
  private readonly queue: ModelRun[] = [];
  private runningCount = 0;

  /** The part of requests that it refuses without cause. */
  refusedPart = 0;

  /** @param traits What it is like. */
  constructor(traits: UpstreamTraits, schedule: Schedule) {
    this.traits = traits;
    this.schedule = schedule;
  }

  /** Requests that it runs or queues. */
  get busyCount(): number {
    return this.runningCount + this.queue.length;
  }

  /** Takes a request at the moment `nowMs`; `random` is from 0 up to 1. */
  accept(run: ModelRun, random: number, nowMs: number): void {
    if (random < this.refusedPart) run.onEnd('refused');
    else if (this.runningCount < this.traits.slotCount) this.start(run, nowMs);
    else if (this.queue.length < this.traits.queueLimit) this.queue.push(run);
    else run.onEnd('refused');
  }

  private start(run: ModelRun, nowMs: number): void {
    this.runningCount += 1;
    const isWarm = this.warm.has(run.objectName);
    const workMs = run.coldWorkMs * (isWarm ? this.traits.warmPart : 1);
    const endsAtMs = Math.min(run.deadlineMs, nowMs + workMs);
    this.schedule(endsAtMs, () => {
      this.runningCount -= 1;
      const isDone = nowMs + workMs <= run.deadlineMs;
      if (isDone) this.keepWarm(run.objectName);
      run.onEnd(isDone ? 'done' : 'givenUp');
      this.startNext(endsAtMs);
    });
  }

  private startNext(nowMs: number): void {
    const next = this.queue.shift();
    if (next === undefined) return;
    if (next.deadlineMs > nowMs) {
      this.start(next, nowMs);
      return;
    }
    next.onEnd('givenUp');
    this.startNext(nowMs);
  }

  private keepWarm(objectName: string): void {
    this.warm.delete(objectName);
    this.warm.add(objectName);
    if (this.warm.size <= this.traits.warmObjectCount) return;
    const [oldest] = this.warm;
    this.warm.delete(oldest);
  }
}
