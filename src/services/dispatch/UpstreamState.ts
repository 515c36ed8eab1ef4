import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';

/** An upstream that leaves at least two requests unanswered for this long gets no more requests. */
const UNRESPONSIVE_MS = 1000;

/** How long an upstream gets no requests after its first failure; the time doubles with each further failure. */
const FIRST_BACKOFF_MS = 300;

/** The longest backoff: a sixth of the time that a crashed upstream is unavailable. */
const MAX_BACKOFF_MS = 2000;

/** How long at-most-once requests use new connections after an answer was cut off or belonged to another request. */
const UNRELIABLE_TERM_MS = 10_000;

/** Busy count per slot that is assumed of an upstream that rejects a request without a load report. */
const SHED_BUSY_RATIO = 3;

/**
 * How many objects of this VM's callers an upstream is assumed to have warm, that is, in its cache. Callers of other
 * VMs use the cache, too.
 */
const MAX_WARM_OBJECTS = 12;

/** Weight of the latest duration in the average duration of this process's requests to an upstream. */
const DURATION_WEIGHT = 0.2;

/** One process's state for one upstream: its load, failures, warm objects and cold period. */
export class UpstreamState {
  /** The identifier of the upstream. */
  readonly upstreamId: string;

  /** The hash of the identifier, by which upstreams are ranked. */
  readonly hash: number;

  private currentRecord: entry.UpstreamRecord;
  private readonly inFlightSentAtMs = new Map<number, number>();
  private readonly objects = new Set<string>();
  private nextSendId = 0;
  private lastAnswerAtMs = -Infinity;
  private reportedOtherCount = 0;
  private reportedAtMs = -Infinity;
  private speed = decisions.USUAL_SPEED;
  private averageDurationMs: number | undefined;
  private sendRate = decisions.NO_SENDS;
  private backoffUntilMs = -Infinity;
  private failureCount = 0;
  private unreliableUntilMs = -Infinity;
  private coldUntilMs = -Infinity;
  private coldPace: decisions.ColdStartBucket | undefined;
  private isMisdirected = false;
  private currentHold: decisions.UpstreamHold;

  /**
   * @param record The upstream's record in the store.
   * @param hold What this start of the upstream has said before about new requests.
   */
  constructor(record: entry.UpstreamRecord, hold = decisions.NO_HOLD) {
    this.upstreamId = record.upstreamId;
    this.hash = decisions.getHash(record.upstreamId);
    this.currentRecord = record;
    this.currentHold = hold;
  }

  /** The upstream's latest record. */
  get record(): entry.UpstreamRecord {
    return this.currentRecord;
  }

  /** What the upstream has said about new requests. */
  get hold(): decisions.UpstreamHold {
    return this.currentHold;
  }

  /** The number of this process's requests that are in flight to the upstream. */
  get ownInFlightCount(): number {
    return this.inFlightSentAtMs.size;
  }

  /** Replaces the record. */
  setRecord(record: entry.UpstreamRecord): void {
    if (record.startedAtMs !== this.currentRecord.startedAtMs)
      this.isMisdirected = false;
    this.currentRecord = record;
  }

  /**
   * Marks the upstream as cold: it has just started or returned, and gets few requests.
   *
   * @param untilMs Monotonic time in milliseconds at which the cold period ends.
   * @param random A random number from 0 to below 1 that spreads the first requests of the VMs over time.
   * @param nowMs Monotonic time in milliseconds.
   */
  setCold(untilMs: number, random: number, nowMs: number): void {
    if (untilMs <= this.coldUntilMs) return;
    if (this.coldUntilMs <= nowMs)
      this.coldPace = decisions.createColdStartBucket(random, nowMs);
    this.coldUntilMs = untilMs;
  }

  /** Records that the upstream shuts down: this start of it gets no more requests. */
  setLeaving(): void {
    this.currentHold = {kind: 'leaving'};
  }

  /** Records that the upstream wants no requests for `pauseMs` milliseconds from now. */
  extendPause(pauseMs: number, nowMs: number): void {
    this.currentHold = decisions.extendPause(this.currentHold, pauseMs, nowMs);
  }

  /** Whether the upstream is cold and gets few requests. */
  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  /** Records a request that is sent. Returns the identifier to pass to `endSend`. */
  addSend(nowMs: number): number {
    if (this.coldPace !== undefined && this.isCold(nowMs))
      this.coldPace = decisions.consumeColdStartToken(this.coldPace);
    this.sendRate = decisions.countSend(this.sendRate, nowMs);
    const sendId = this.nextSendId++;
    this.inFlightSentAtMs.set(sendId, nowMs);
    return sendId;
  }

  /** Records the end of a request that `addSend` recorded. */
  endSend(sendId: number): void {
    this.inFlightSentAtMs.delete(sendId);
  }

  /** Records how long in milliseconds a request took that the upstream executed. */
  addDuration(durationMs: number): void {
    const averageMs = this.averageDurationMs ?? durationMs;
    this.averageDurationMs =
      averageMs + (durationMs - averageMs) * DURATION_WEIGHT;
  }

  /** Records an answer and its load report, if it has one. */
  addAnswer(load: codecs.UpstreamLoad | undefined, nowMs: number): void {
    this.lastAnswerAtMs = nowMs;
    this.failureCount = 0;
    if (load === undefined) return;
    this.setReport(load.busyCount, nowMs);
    this.addSlowdown(load, nowMs);
  }

  /** Records that the upstream rejected a request because of its load. */
  addShed(load: codecs.UpstreamLoad | undefined, nowMs: number): void {
    this.lastAnswerAtMs = nowMs;
    const assumedBusyCount = this.currentRecord.slotCount * SHED_BUSY_RATIO;
    this.setReport(load?.busyCount ?? assumedBusyCount, nowMs);
    if (load !== undefined) this.addSlowdown(load, nowMs);
  }

  /** Records that the upstream was unreachable or did not answer in time. */
  addFailure(nowMs: number): void {
    this.failureCount += 1;
    const backoffMs = Math.min(
      MAX_BACKOFF_MS,
      FIRST_BACKOFF_MS * 2 ** (this.failureCount - 1),
    );
    this.backoffUntilMs = nowMs + backoffMs;
  }

  /** Records that an answer was cut off or belonged to another request. */
  markUnreliable(nowMs: number): void {
    this.unreliableUntilMs = nowMs + UNRELIABLE_TERM_MS;
  }

  /** Whether an answer of the upstream was recently cut off or belonged to another request. */
  isUnreliable(nowMs: number): boolean {
    return nowMs < this.unreliableUntilMs;
  }

  /** Records that another upstream answers at this upstream's address. */
  setMisdirected(): void {
    this.isMisdirected = true;
  }

  /** Gets the estimated number of requests that the upstream is running, of all VMs together. */
  getBusyCount(nowMs: number): number {
    const weight = decisions.getReportWeight(nowMs - this.reportedAtMs);
    return this.ownInFlightCount + this.reportedOtherCount * weight;
  }

  /**
   * Gets the number of other VMs' requests that are expected at the upstream and that no load report counts, if
   * `peerCount` other VMs send it as many as this one and each takes `durationMs`. Reports replace the expectation, and give way to it as they age.
   */
  getUnreportedCount(
    peerCount: number,
    durationMs: number,
    nowMs: number,
  ): number {
    const ownCount = decisions.getAverageBusyCount(
      this.sendRate,
      durationMs,
      nowMs,
    );
    const reportWeight = decisions.getReportWeight(nowMs - this.reportedAtMs);
    return (1 - reportWeight) * ownCount * peerCount;
  }

  /** Gets the estimated speed of the upstream: 1 as usual, 0.4 when work takes 2.5 times as long. */
  getSpeed(nowMs: number): number {
    return decisions.getSpeed(this.speed, nowMs);
  }

  /** Records that the upstream ran a request for an object and so has it warm. */
  addWarmObject(objectName: string): void {
    this.objects.delete(objectName);
    this.objects.add(objectName);
    if (this.objects.size <= MAX_WARM_OBJECTS) return;
    const [oldestObject] = this.objects;
    this.objects.delete(oldestObject);
  }

  /**
   * Gets the view of the upstream that a placement is chosen from.
   *
   * @param objectRegion The region that the object's requests go to first.
   * @param coldRatePerSecond How many requests a second this VM may send to the upstream while it is cold.
   * @param nowMs Monotonic time in milliseconds.
   */
  getView(
    objectName: string,
    objectRegion: string,
    coldRatePerSecond: number,
    nowMs: number,
  ): decisions.PlacementCandidate {
    return {
      upstreamId: this.upstreamId,
      slotCount: this.currentRecord.slotCount,
      busyCount: this.getBusyCount(nowMs),
      speed: this.getSpeed(nowMs),
      isWarm: this.objects.has(objectName),
      isFallback: this.currentRecord.region !== objectRegion,
      isAvailable: this.isAvailable(coldRatePerSecond, nowMs),
    };
  }

  /** Whether the upstream answers and wants requests, as far as this process knows; it may be cold. */
  isReachable(nowMs: number): boolean {
    if (this.isMisdirected || nowMs < this.backoffUntilMs) return false;
    if (decisions.isHeld(this.currentHold, nowMs)) return false;
    return !this.isUnresponsive(nowMs);
  }

  private isAvailable(coldRatePerSecond: number, nowMs: number): boolean {
    if (!this.isReachable(nowMs)) return false;
    if (!this.isCold(nowMs) || this.coldPace === undefined) return true;
    this.coldPace = decisions.refillColdStartBucket(
      this.coldPace,
      coldRatePerSecond,
      nowMs,
    );
    return decisions.hasColdStartToken(this.coldPace);
  }

  private isUnresponsive(nowMs: number): boolean {
    if (this.inFlightSentAtMs.size < 2) return false;
    const [oldestMs] = this.inFlightSentAtMs.values();
    return oldestMs < nowMs - UNRESPONSIVE_MS && this.lastAnswerAtMs < oldestMs;
  }

  private addSlowdown({slowdown}: codecs.UpstreamLoad, nowMs: number): void {
    if (slowdown === undefined) return;
    this.speed = decisions.addSpeedReport(
      this.speed,
      slowdown,
      this.averageDurationMs ?? 0,
      nowMs,
    );
  }

  private setReport(busyCount: number, nowMs: number): void {
    this.reportedOtherCount = Math.max(0, busyCount - this.ownInFlightCount);
    this.reportedAtMs = nowMs;
  }
}
