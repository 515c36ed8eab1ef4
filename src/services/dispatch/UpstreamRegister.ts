import type * as codecs from '../../codecs/entry/index.js';
import * as decisions from '../../decisions/index.js';
import type * as entry from '../../model/entry/index.js';
import * as connections from './UpstreamConnections.js';
import * as states from './UpstreamState.js';

/** The most objects whose ranking is kept. */
const MAX_CACHED_RANKINGS = 20_000;

/** An upstream with the connections to it. */
export interface RegisteredUpstream {
  readonly state: states.UpstreamState;
  readonly connections: connections.UpstreamConnections;
}

/** What the register says of a change of an entry. */
export type RegisterEvent =
  | {readonly kind: 'added'; readonly record: entry.UpstreamRecord}
  | {readonly kind: 'changed'; readonly record: entry.UpstreamRecord}
  | {readonly kind: 'removed'; readonly record: entry.UpstreamRecord};

/** Where an object's requests may go. */
export interface RankQuestion {
  readonly serviceId: string;

  /** Names the object among all routes; an empty string ranks by `random` instead. */
  readonly objectName: string;
  readonly homeRegions: readonly string[] | undefined;

  /** A random number from 0 up to 1. */
  readonly random: number;
}

/** The upstreams of one process: their states, their connections and their ranking for objects. */
export class UpstreamRegister {
  private readonly codec: codecs.WireCodec;
  private readonly upstreams = new Map<string, RegisteredUpstream>();
  private readonly rankings = new Map<string, readonly string[]>();
  private readonly candidates = new Map<
    string,
    readonly decisions.RankedRegion[]
  >();
  private readonly shares = new Map<string, decisions.RegionShares>();
  private evacuated: ReadonlySet<string> = new Set();

  /** @param codec How requests to upstreams are written. */
  constructor(codec: codecs.WireCodec) {
    this.codec = codec;
  }

  /** Gets an upstream, or nothing when its entry is gone. */
  get(upstreamId: string): RegisteredUpstream | undefined {
    return this.upstreams.get(upstreamId);
  }

  /** Gets all upstreams. */
  getAll(): IterableIterator<RegisteredUpstream> {
    return this.upstreams.values();
  }

  /** Replaces the entries; gives what changed. */
  setRecords(
    records: readonly entry.UpstreamRecord[],
  ): readonly RegisterEvent[] {
    const events: RegisterEvent[] = [];
    const named = new Set<string>();
    for (const record of records) {
      named.add(record.upstreamId);
      const event = this.setRecord(record);
      if (event !== undefined) events.push(event);
    }
    for (const [upstreamId, upstream] of this.upstreams) {
      if (named.has(upstreamId)) continue;
      this.upstreams.delete(upstreamId);
      void upstream.connections.close();
      events.push({kind: 'removed', record: upstream.state.record});
    }
    if (events.length > 0) this.forgetRankings();
    return events;
  }

  /** Whether an upstream is still there under its identifier and gets requests. */
  isUsable(state: states.UpstreamState): boolean {
    const {record} = state;
    return (
      this.upstreams.get(state.upstreamId)?.state === state &&
      record.state === 'ready' &&
      !this.evacuated.has(record.failureDomain)
    );
  }

  /** Replaces the failure domains whose upstreams get nothing; gives those that get requests again. */
  setEvacuated(domains: readonly string[]): readonly string[] {
    const known = this.evacuated;
    this.evacuated = new Set(domains);
    const returned = [...known].filter(domain => !this.evacuated.has(domain));
    if (returned.length > 0 || this.evacuated.size !== known.size)
      this.forgetRankings();
    return returned;
  }

  /** Gets the slots of a service's usable upstreams, by region. */
  getCapacities(serviceId: string): ReadonlyMap<string, number> {
    const capacities = new Map<string, number>();
    for (const {state} of this.upstreams.values()) {
      const {record} = state;
      if (record.serviceId !== serviceId || !this.isUsable(state)) continue;
      const known = capacities.get(record.region) ?? 0;
      capacities.set(record.region, known + record.slotCount);
    }
    return capacities;
  }

  /** Gets the part of a service's objects that goes to each region. */
  getShares(serviceId: string): decisions.RegionShares | undefined {
    return this.shares.get(serviceId);
  }

  /** Replaces the part of a service's objects that goes to each region. */
  setShares(serviceId: string, shares: decisions.RegionShares): void {
    this.shares.set(serviceId, shares);
    this.forgetRankings();
  }

  /** Gets the upstreams that come first for an object, best first. */
  rank(question: RankQuestion): readonly string[] {
    const group = `${question.serviceId}|${question.homeRegions?.join() ?? ''}`;
    if (question.objectName === '') {
      const hash = Math.floor(question.random * 2 ** 32);
      return this.rankIn(group, question, hash);
    }
    const key = `${group}|${question.objectName}`;
    const known = this.rankings.get(key);
    if (known !== undefined) return known;
    const hash = decisions.getHash(question.objectName);
    const ranking = this.rankIn(group, question, hash);
    if (this.rankings.size >= MAX_CACHED_RANKINGS) this.rankings.clear();
    this.rankings.set(key, ranking);
    return ranking;
  }

  /**
   * Gets what a placement needs to know of ranked upstreams, for a VM that may send `coldRatePerSecond` while
   * one is cold.
   */
  getViews(
    ranked: readonly string[],
    objectName: string,
    coldRatePerSecond: number,
    nowMs: number,
  ): readonly decisions.PlacementView[] {
    const objectRegion = this.get(ranked[0])?.state.record.region ?? '';
    return ranked.flatMap(
      upstreamId =>
        this.get(upstreamId)?.state.getView(
          objectName,
          objectRegion,
          coldRatePerSecond,
          nowMs,
        ) ?? [],
    );
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all(
      [...this.upstreams.values()].map(upstream =>
        upstream.connections.close(),
      ),
    );
  }

  private setRecord(record: entry.UpstreamRecord): RegisterEvent | undefined {
    const known = this.upstreams.get(record.upstreamId);
    if (known === undefined || hasMoved(known.state.record, record)) {
      if (known !== undefined) void known.connections.close();
      const address = `${record.host}:${record.port}`;
      this.upstreams.set(record.upstreamId, {
        state: new states.UpstreamState(record),
        connections: new connections.UpstreamConnections(
          record.upstreamId,
          address,
          this.codec,
        ),
      });
      return {kind: 'added', record};
    }
    const old = known.state.record;
    known.state.setRecord(record);
    const hasChanged =
      old.state !== record.state || old.slotCount !== record.slotCount;
    return hasChanged ? {kind: 'changed', record} : undefined;
  }

  private rankIn(
    group: string,
    question: RankQuestion,
    hash: number,
  ): readonly string[] {
    let candidates = this.candidates.get(group);
    if (candidates === undefined) {
      candidates = this.getCandidates(question);
      this.candidates.set(group, candidates);
    }
    return decisions.rankInRegions(candidates, hash);
  }

  private getCandidates(
    question: RankQuestion,
  ): readonly decisions.RankedRegion[] {
    const {serviceId, homeRegions} = question;
    const capacities = this.getCapacities(serviceId);
    const shares = this.shares.get(serviceId);
    const regions = new Map<string, decisions.RankedUpstream[]>();
    for (const {state} of this.upstreams.values()) {
      const {record, upstreamId, hash} = state;
      if (record.serviceId !== serviceId || !this.isUsable(state)) continue;
      if (homeRegions !== undefined && !homeRegions.includes(record.region))
        continue;
      const known = regions.get(record.region) ?? [];
      known.push({upstreamId, hash, weight: record.slotCount});
      regions.set(record.region, known);
    }
    return [...regions].map(([region, upstreams]) => {
      const capacity = capacities.get(region) ?? 0;
      const share = shares === undefined ? capacity : shares.get(region);
      return {
        region,
        hash: decisions.getHash(region),
        // A region that gets nothing as a rule still comes last, for when all others are gone.
        share: Math.max(share ?? 0, MIN_SHARE),
        upstreams,
      };
    });
  }

  private forgetRankings(): void {
    this.rankings.clear();
    this.candidates.clear();
  }
}

/** The least part of the objects that a region is ranked with. */
const MIN_SHARE = 1e-6;

/** Whether an identifier now stands for another process: it started again or lives elsewhere. */
function hasMoved(
  known: entry.UpstreamRecord,
  next: entry.UpstreamRecord,
): boolean {
  return (
    known.host !== next.host ||
    known.port !== next.port ||
    known.serviceId !== next.serviceId ||
    known.startedAtMs !== next.startedAtMs
  );
}
