import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as errors from '../../model/errors/index.js';
import * as httpService from '../http/index.js';
import * as formerHolds from './FormerHolds.js';
import * as connections from './UpstreamConnections.js';
import * as states from './UpstreamState.js';

/** The number of objects whose ranking is cached; the cache is cleared when it is full. */
const MAX_CACHED_RANKINGS = 20_000;

/**
 * Weight of the latest duration in the average of a service. A VM of a large fleet gets few answers from one upstream,
 * and the average of one would follow single requests that need much work.
 */
const SERVICE_DURATION_WEIGHT = 0.02;

/** An upstream with the connections to it. */
export interface RegisteredUpstream {
  readonly state: states.UpstreamState;
  readonly connections: connections.UpstreamConnections;
}

/** A change of an upstream's record. */
export type RegistryEvent =
  | {readonly kind: 'added'; readonly record: entry.UpstreamRecord}
  | {readonly kind: 'changed'; readonly record: entry.UpstreamRecord}
  | {readonly kind: 'removed'; readonly record: entry.UpstreamRecord};

/** The service, the object and the home regions for which upstreams are ranked. */
export interface RankQuery {
  readonly serviceId: string;

  /** The name of the object, unique across all routes; if empty, the upstreams are ranked by `random`. */
  readonly objectName: string;
  readonly homeRegions: readonly string[] | undefined;

  /** A random number from 0 to below 1. */
  readonly random: number;
}

/** The upstreams that one process sends requests to: their states, their connections and their ranking for objects. */
export class UpstreamRegistry {
  private readonly codec: codecs.WireCodec;
  private readonly upstreams = new Map<string, RegisteredUpstream>();
  private readonly rankings = new Map<string, readonly string[]>();
  private readonly candidates = new Map<
    string,
    readonly decisions.RankableRegion[]
  >();

  /** The usable upstreams by service, as far as they have been asked for since one of them changed. */
  private readonly usable = new Map<string, readonly states.UpstreamState[]>();
  private readonly shares = new Map<string, decisions.RegionShares>();
  private readonly answerMemory: httpService.BodyMemory;
  private readonly formerHolds = new formerHolds.FormerHolds();
  private evacuated: ReadonlySet<string> = new Set();
  private readonly loadSpread: entry.LoadSpread;
  private prefersSecond = false;
  private regionPeerCount = 0;
  private readonly serviceDurationsMs = new Map<string, number>();

  /**
   * @param codec Encodes requests to upstreams and decodes their answers.
   * @param maxHeldBodyBytes The most memory in bytes that the answers may take together.
   * @param loadSpread How requests are spread over the upstreams that are ranked for their object.
   */
  constructor(
    codec: codecs.WireCodec,
    maxHeldBodyBytes?: number,
    loadSpread: entry.LoadSpread = {kind: 'first'},
  ) {
    this.codec = codec;
    this.loadSpread = loadSpread;
    this.answerMemory = new httpService.BodyMemory('answer', maxHeldBodyBytes);
  }

  /** Sets the number of other VMs in this VM's region, whose callers request the same objects. */
  setRegionPeerCount(count: number): void {
    this.regionPeerCount = count;
  }

  /** Records how long in milliseconds a request took that an upstream executed. */
  addDuration(state: states.UpstreamState, durationMs: number): void {
    state.addDuration(durationMs);
    const {serviceId} = state.record;
    const averageMs = this.serviceDurationsMs.get(serviceId) ?? durationMs;
    this.serviceDurationsMs.set(
      serviceId,
      averageMs + (durationMs - averageMs) * SERVICE_DURATION_WEIGHT,
    );
  }

  /** Gets an upstream; undefined when it has no record. */
  get(upstreamId: string): RegisteredUpstream | undefined {
    return this.upstreams.get(upstreamId);
  }

  /** Gets all upstreams. */
  getAll(): IterableIterator<RegisteredUpstream> {
    return this.upstreams.values();
  }

  /**
   * Replaces the records of all upstreams. Returns the changes.
   *
   * @param nowMs Monotonic time in milliseconds.
   */
  setRecords(
    records: readonly entry.UpstreamRecord[],
    nowMs: number,
  ): readonly RegistryEvent[] {
    const events: RegistryEvent[] = [];
    const listedIds = new Set<string>();
    for (const record of records) {
      listedIds.add(record.upstreamId);
      const event = this.setRecord(record, nowMs);
      if (event !== undefined) events.push(event);
    }
    for (const [upstreamId, upstream] of this.upstreams) {
      if (listedIds.has(upstreamId)) continue;
      this.upstreams.delete(upstreamId);
      this.formerHolds.add(upstream.state.record, upstream.state.hold, nowMs);
      void upstream.connections.close();
      events.push({kind: 'removed', record: upstream.state.record});
    }
    if (events.length > 0) this.clearRankings();
    return events;
  }

  /**
   * Marks a start of an upstream as leaving; a start without a record is marked when its record arrives. Returns
   * whether the mark is new.
   */
  setLeaving(start: entry.UpstreamStart, nowMs: number): boolean {
    const state = this.upstreams.get(start.upstreamId)?.state;
    if (state === undefined) {
      this.formerHolds.add(start, {kind: 'leaving'}, nowMs);
      return false;
    }
    const isCurrent = formerHolds.isSameStart(state.record, start);
    if (!isCurrent || state.hold.kind === 'leaving') return false;
    state.setLeaving();
    this.clearRankings();
    return true;
  }

  /**
   * Whether an upstream is still registered, ready, outside the evacuated failure domains, and has not said that it
   * leaves.
   */
  isUsable(state: states.UpstreamState): boolean {
    const {record} = state;
    return (
      this.upstreams.get(state.upstreamId)?.state === state &&
      record.state === 'ready' &&
      state.hold.kind !== 'leaving' &&
      !this.evacuated.has(record.failureDomain)
    );
  }

  /** Whether an upstream may receive a request at the monotonic time `nowMs`, in milliseconds. */
  isOpen(state: states.UpstreamState, nowMs: number): boolean {
    return this.isUsable(state) && !decisions.isHeld(state.hold, nowMs);
  }

  /** Replaces the failure domains whose upstreams get no requests. Returns those that are no longer evacuated. */
  setEvacuatedDomains(domains: readonly string[]): readonly string[] {
    const previous = this.evacuated;
    this.evacuated = new Set(domains);
    const returned = [...previous].filter(
      domain => !this.evacuated.has(domain),
    );
    if (returned.length > 0 || this.evacuated.size !== previous.size)
      this.clearRankings();
    return returned;
  }

  /** Gets the slot count of a service's usable upstreams, by region. */
  getCapacities(serviceId: string): ReadonlyMap<string, number> {
    return this.sumCapacities(serviceId, state => state.record.slotCount);
  }

  /**
   * Gets the effective capacity of a service's usable upstreams in slots, by region: a slot counts as much as the work
   * that it does at the upstream's present speed.
   */
  getEffectiveCapacities(
    serviceId: string,
    nowMs: number,
  ): ReadonlyMap<string, number> {
    return this.sumCapacities(
      serviceId,
      state => state.record.slotCount * state.getSpeed(nowMs),
    );
  }

  /** Gets the fraction of a service's objects that each region serves; undefined before it is set. */
  getShares(serviceId: string): decisions.RegionShares | undefined {
    return this.shares.get(serviceId);
  }

  /** Replaces the fraction of a service's objects that each region serves. */
  setShares(serviceId: string, shares: decisions.RegionShares): void {
    this.shares.set(serviceId, shares);
    this.clearRankings();
  }

  /** Gets the identifiers of the preferred upstreams for an object, best first. */
  rank(query: RankQuery): readonly string[] {
    const group = `${query.serviceId}|${query.homeRegions?.join() ?? ''}`;
    const hash = getQueryHash(query);
    if (query.objectName === '') return this.rankCandidates(group, query, hash);
    const key = `${group}|${query.objectName}`;
    const cached = this.rankings.get(key);
    if (cached !== undefined) return cached;
    const ranking = this.rankCandidates(group, query, hash);
    if (this.rankings.size >= MAX_CACHED_RANKINGS) this.rankings.clear();
    this.rankings.set(key, ranking);
    return ranking;
  }

  /**
   * Gets the identifiers of the preferred upstreams for an object among those that are reachable, best first.
   *
   * @param excludedIds Upstreams to leave out.
   * @param nowMs Monotonic time in milliseconds.
   */
  rankReachable(
    query: RankQuery,
    excludedIds: readonly string[],
    nowMs: number,
  ): readonly string[] {
    const candidates = this.getCandidates(
      query,
      state =>
        state.isReachable(nowMs) && !excludedIds.includes(state.upstreamId),
    );
    return decisions.rankInRegions(candidates, getQueryHash(query));
  }

  /** Whether two upstreams are in the same region. */
  isInSameRegion(upstreamId: string, otherId: string): boolean {
    const other = this.get(otherId);
    return (
      this.get(upstreamId)?.state.record.region === other?.state.record.region
    );
  }

  /** Whether one of the upstreams is paused at the monotonic time `nowMs`, in milliseconds. */
  isAnyPaused(upstreamIds: readonly string[], nowMs: number): boolean {
    return upstreamIds.some(upstreamId => {
      const hold = this.get(upstreamId)?.state.hold;
      return hold?.kind === 'paused' && decisions.isHeld(hold, nowMs);
    });
  }

  /** Whether one of the upstreams is unreachable at the monotonic time `nowMs`, in milliseconds. */
  isAnyUnreachable(upstreamIds: readonly string[], nowMs: number): boolean {
    return upstreamIds.some(
      upstreamId => this.get(upstreamId)?.state.isReachable(nowMs) !== true,
    );
  }

  /**
   * Gets the monotonic time in milliseconds at which the first of the upstreams that may run a request accepts one
   * again; undefined unless all of them are paused.
   */
  getFirstPauseEndMs(query: RankQuery, nowMs: number): number | undefined {
    return decisions.getFirstPauseEndMs(this.getHolds(query), nowMs);
  }

  /**
   * Gets the views of ranked upstreams that a placement is chosen from, in the order in which they are preferred.
   *
   * @param coldRatePerSecond How many requests a second this VM may send to an upstream while that is cold.
   * @param nowMs Monotonic time in milliseconds.
   */
  getViews(
    ranked: readonly string[],
    objectName: string,
    coldRatePerSecond: number,
    nowMs: number,
  ): readonly decisions.PlacementCandidate[] {
    const objectRegion = this.get(ranked[0])?.state.record.region ?? '';
    const serviceId = this.get(ranked[0])?.state.record.serviceId ?? '';
    const durationMs = this.serviceDurationsMs.get(serviceId) ?? 0;
    const views = ranked.flatMap(
      upstreamId =>
        this.get(upstreamId)?.state.getView(
          objectName,
          objectRegion,
          coldRatePerSecond,
          nowMs,
        ) ?? [],
    );
    switch (this.loadSpread.kind) {
      case 'first':
        return views;
      case 'designated':
        this.prefersSecond = !this.prefersSecond;
        return decisions.orderDesignated(
          views.map(view => ({
            ...view,
            unreportedCount: this.get(
              view.upstreamId,
            )?.state.getUnreportedCount(
              this.regionPeerCount,
              durationMs,
              nowMs,
            ),
          })),
          this.prefersSecond,
        );
      default:
        return errors.throwUnreachable(this.loadSpread);
    }
  }

  /** Closes all connections at once. */
  async close(): Promise<void> {
    await Promise.all(
      [...this.upstreams.values()].map(upstream =>
        upstream.connections.destroy(),
      ),
    );
  }

  private sumCapacities(
    serviceId: string,
    getCapacity: (state: states.UpstreamState) => number,
  ): ReadonlyMap<string, number> {
    const capacities = new Map<string, number>();
    for (const state of this.getUsable(serviceId)) {
      const {region} = state.record;
      const regionCapacity = capacities.get(region) ?? 0;
      capacities.set(region, regionCapacity + getCapacity(state));
    }
    return capacities;
  }

  private getUsable(serviceId: string): readonly states.UpstreamState[] {
    const known = this.usable.get(serviceId);
    if (known !== undefined) return known;
    const usable = [...this.upstreams.values()]
      .map(({state}) => state)
      .filter(
        state => state.record.serviceId === serviceId && this.isUsable(state),
      );
    this.usable.set(serviceId, usable);
    return usable;
  }

  private *getHolds({
    serviceId,
    homeRegions,
  }: RankQuery): Generator<decisions.UpstreamHold> {
    for (const {record, hold} of this.getUsable(serviceId))
      if (homeRegions?.includes(record.region) ?? true) yield hold;
  }

  private setRecord(
    record: entry.UpstreamRecord,
    nowMs: number,
  ): RegistryEvent | undefined {
    const existing = this.upstreams.get(record.upstreamId);
    if (
      existing === undefined ||
      isOtherProcess(existing.state.record, record)
    ) {
      if (existing !== undefined) void existing.connections.close();
      const address = `${record.host}:${record.port}`;
      this.upstreams.set(record.upstreamId, {
        state: new states.UpstreamState(
          record,
          this.formerHolds.take(record, nowMs),
        ),
        connections: new connections.UpstreamConnections(
          record.upstreamId,
          address,
          this.codec,
          this.answerMemory,
        ),
      });
      return {kind: 'added', record};
    }
    const old = existing.state.record;
    existing.state.setRecord(record);
    const hasChanged =
      old.state !== record.state || old.slotCount !== record.slotCount;
    return hasChanged ? {kind: 'changed', record} : undefined;
  }

  private rankCandidates(
    group: string,
    query: RankQuery,
    hash: number,
  ): readonly string[] {
    let candidates = this.candidates.get(group);
    if (candidates === undefined) {
      candidates = this.getCandidates(query);
      this.candidates.set(group, candidates);
    }
    return decisions.rankInRegions(candidates, hash);
  }

  private getCandidates(
    query: RankQuery,
    isCandidate: (state: states.UpstreamState) => boolean = () => true,
  ): readonly decisions.RankableRegion[] {
    const {serviceId, homeRegions} = query;
    const capacities = this.getCapacities(serviceId);
    const shares = this.shares.get(serviceId);
    const regions = new Map<string, decisions.RankableUpstream[]>();
    for (const state of this.getUsable(serviceId)) {
      const {record, upstreamId, hash} = state;
      if (homeRegions !== undefined && !homeRegions.includes(record.region))
        continue;
      if (!isCandidate(state)) continue;
      const regionUpstreams = regions.get(record.region) ?? [];
      regionUpstreams.push({upstreamId, hash, weight: record.slotCount});
      regions.set(record.region, regionUpstreams);
    }
    return [...regions].map(([region, upstreams]) => {
      const capacity = capacities.get(region) ?? 0;
      const share = shares === undefined ? capacity : shares.get(region);
      return {
        region,
        hash: decisions.getHash(region),
        // A region with a share of 0 stays last in the ranking, for when all other regions have failed.
        share: Math.max(share ?? 0, MIN_REGION_SHARE),
        upstreams,
      };
    });
  }

  /** Forgets what depends on which upstreams are usable and on the shares. */
  private clearRankings(): void {
    this.usable.clear();
    this.rankings.clear();
    this.candidates.clear();
  }
}

/** The smallest fraction of the objects that a region is ranked with. */
const MIN_REGION_SHARE = 1e-6;

function getQueryHash({objectName, random}: RankQuery): number {
  return objectName === ''
    ? Math.floor(random * 2 ** 32)
    : decisions.getHash(objectName);
}

/** Whether an upstream's identifier now names another process: one that was restarted or has another address. */
function isOtherProcess(
  previous: entry.UpstreamRecord,
  next: entry.UpstreamRecord,
): boolean {
  return (
    previous.host !== next.host ||
    previous.port !== next.port ||
    previous.serviceId !== next.serviceId ||
    previous.startedAtMs !== next.startedAtMs
  );
}
