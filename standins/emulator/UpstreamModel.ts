import type * as speeds from './MachineSpeed.js';

/** Capacity and cache behaviour of the upstreams of a scenario. */
export interface UpstreamTraits {
  readonly slotCount: number;

  /** The maximum number of requests that wait for a slot. */
  readonly queueLimit: number;

  /** The number of objects that an upstream caches; the least recently used one is evicted first. */
  readonly warmObjectCount: number;

  /** The service time of a request for a cached (warm) object, as a ratio of that for an uncached (cold) one. */
  readonly warmWorkRatio: number;

  /** How the speed of the upstream's machine varies; constant if undefined. */
  readonly speed?: speeds.SpeedTraits;
}

/** A request that an upstream has received. */
export interface ModelRequest {
  readonly objectName: string;

  /** The service time in milliseconds when the object is not cached. */
  readonly coldWorkMs: number;

  /** The virtual time in milliseconds at which the request times out. */
  readonly deadlineMs: number;

  /** Called once, when the request is done, refused or timed out. */
  readonly onEnd: (result: 'done' | 'refused' | 'timedOut') => void;
}

/** Schedules an action at a virtual time in milliseconds. */
export type Schedule = (atMs: number, action: () => void) => void;

/** Simulates an upstream in virtual time: its slots, its queue and its cache of objects. */
export class UpstreamModel {
  private readonly traits: UpstreamTraits;
  private readonly schedule: Schedule;
  private readonly machineSpeed: speeds.MachineSpeed | undefined;
  private readonly warmObjects = new Set<string>();
  private readonly queue: ModelRequest[] = [];
  private runningCount = 0;
  private startedCount = 0;
  private startedWarmCount = 0;

  /** The fraction of requests that are refused at random, whatever the load, from 0 to 1. */
  refusedFraction = 0;

  /**
   * @param traits The capacity and cache behaviour of the upstream.
   * @param machineSpeed The speed of the upstream's machine; constant if undefined.
   */
  constructor(
    traits: UpstreamTraits,
    schedule: Schedule,
    machineSpeed?: speeds.MachineSpeed,
  ) {
    this.traits = traits;
    this.schedule = schedule;
    this.machineSpeed = machineSpeed;
  }

  /** The numbers of requests that were started, and of those whose object was cached. */
  get counts(): {readonly started: number; readonly startedWarm: number} {
    return {started: this.startedCount, startedWarm: this.startedWarmCount};
  }

  /** Gets the factor by which work takes longer than usual; undefined if the speed is constant and not reported. */
  getSlowdown(nowMs: number): number | undefined {
    return this.machineSpeed?.getSlowdown(nowMs);
  }

  /** The number of requests that are running or queued. */
  get busyCount(): number {
    return this.runningCount + this.queue.length;
  }

  /**
   * Starts, queues or refuses a request at the virtual time `nowMs`.
   *
   * @param random A random number from 0 up to, not including, 1, which decides on a random refusal.
   */
  accept(request: ModelRequest, random: number, nowMs: number): void {
    if (random < this.refusedFraction) request.onEnd('refused');
    else if (this.runningCount < this.traits.slotCount)
      this.start(request, nowMs);
    else if (this.queue.length < this.traits.queueLimit)
      this.queue.push(request);
    else request.onEnd('refused');
  }

  private start(request: ModelRequest, nowMs: number): void {
    this.runningCount += 1;
    const isWarm = this.warmObjects.has(request.objectName);
    this.startedCount += 1;
    if (isWarm) this.startedWarmCount += 1;
    const workMs =
      request.coldWorkMs * (isWarm ? this.traits.warmWorkRatio : 1);
    const finishedAtMs =
      this.machineSpeed?.getEndMs(nowMs, workMs) ?? nowMs + workMs;
    const endsAtMs = Math.min(request.deadlineMs, finishedAtMs);
    this.schedule(endsAtMs, () => {
      this.runningCount -= 1;
      const isDone = finishedAtMs <= request.deadlineMs;
      if (isDone) this.markWarm(request.objectName);
      request.onEnd(isDone ? 'done' : 'timedOut');
      this.startNext(endsAtMs);
    });
  }

  private startNext(nowMs: number): void {
    const nextRequest = this.queue.shift();
    if (nextRequest === undefined) return;
    if (nextRequest.deadlineMs > nowMs) {
      this.start(nextRequest, nowMs);
      return;
    }
    nextRequest.onEnd('timedOut');
    this.startNext(nowMs);
  }

  private markWarm(objectName: string): void {
    this.warmObjects.delete(objectName);
    this.warmObjects.add(objectName);
    if (this.warmObjects.size <= this.traits.warmObjectCount) return;
    const [leastRecentlyUsed] = this.warmObjects;
    this.warmObjects.delete(leastRecentlyUsed);
  }
}
