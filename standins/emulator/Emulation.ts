import * as pureRand from 'pure-rand';
import type * as codecs from '../../src/codecs/entry/index.js';
import * as headers from '../../platform/HeaderCodec.js';
import * as decisions from '../../src/decisions/index.js';
import type * as entry from '../../src/model/entry/index.js';
import * as errors from '../../src/model/errors/index.js';
import * as balances from '../../src/services/dispatch/RegionBalancer.js';
import type * as states from '../../src/services/dispatch/UpstreamState.js';
import * as registers from '../../src/services/dispatch/UpstreamRegistry.js';
import * as records from '../../test/support/records/index.js';
import * as queues from '../../test/support/virtual/EventQueue.js';
import type * as scenarios from './Scenario.js';
import * as speeds from './MachineSpeed.js';
import * as models from './UpstreamModel.js';

/**
 * How VMs choose upstreams: by the daemon's placement decision (`placed`), or for comparison at random, in turn, or
 * always the first of the ranking.
 */
export type Policy =
  'placed' | 'random' | 'roundRobin' | 'firstOnly' | SpreadPolicy;

/** Ways to spread load more evenly that are compared with the daemon's placement decision. */
export type SpreadPolicy =
  /** The finished request is not counted among those of other VMs when its answer reports the load. */
  | 'corrected'
  /** The less loaded of two upstreams of the object's region that are drawn at random. */
  | 'twoChoices'
  /** Each VM has no more requests at an upstream than its share of the free slots. */
  | 'slotShare'
  /** VMs pass on the latest load reports each second. */
  | 'passedOn'
  /** No upstream is the first choice of more objects than 1.1 times the mean; every VM knows all objects. */
  | 'bounded'
  /** Two upstreams are designated for each object. */
  | 'designated'
  /** Two upstreams are designated for each object, and VMs pass on the latest load reports each second. */
  | 'designatedPassedOn';

/** Outcome counts of the requests that were sent in one second. */
export interface SecondCounts {
  readonly requestCount: number;
  readonly inTimeCount: number;
  readonly lateCount: number;
  readonly refusedCount: number;
  readonly failedCount: number;
}

/** Whether a request was answered within the objective, answered later, refused or timed out. */
type Outcome = 'inTime' | 'late' | 'refused' | 'failed';

/** An entry VM with its own view of the upstreams and of the demand in each region. */
interface EmulatedVm {
  readonly region: string;
  readonly register: registers.UpstreamRegistry;
  readonly balance: balances.RegionBalancer;

  /** The virtual time of the latest report of each upstream that this VM has got from any VM. */
  readonly reportedAtMs: Map<string, number>;
}

/** A load report that a VM got with an answer and passes on to the others. */
interface PassedReport {
  readonly upstreamId: string;
  readonly load: codecs.UpstreamLoad;
  readonly atMs: number;
}

const SERVICE_ID = 'service';
const BALANCE_INTERVAL_MS = 250;
const STATUS_EXCHANGE_INTERVAL_MS = 1000;

/** One-way network delays between a VM and an upstream. */
const SAME_REGION_ONE_WAY_MS = 1;
const OTHER_REGION_ONE_WAY_MS = 35;

const MS_PER_SECOND = 1000;
const RANDOM_RANGE = 2 ** 30;

/** The most objects of which an upstream is the first choice with bounded load, as a ratio of the mean. */
const BOUNDED_OBJECTS_RATIO = 1.1;

/** Simulates a load pattern on several VMs in virtual time, with the placement decisions of the daemon. */
export class Emulation {
  private readonly scenario: scenarios.Scenario;
  private readonly policy: Policy;
  private readonly randomGenerator: pureRand.RandomGenerator;
  private readonly eventQueue = new queues.EventQueue();
  private readonly upstreamModels = new Map<string, models.UpstreamModel>();
  private readonly records: readonly entry.UpstreamRecord[];
  private vms: readonly EmulatedVm[];
  private readonly seconds: SecondCounts[] = [];
  private readonly boundSeconds: SecondCounts[] = [];
  private readonly workRandomGenerator: pureRand.RandomGenerator;
  private readonly boundedFirstIds = new Map<string, string>();
  private passedReports: PassedReport[] = [];
  private memberStatuses: readonly entry.MemberStatus[] = [];
  private nowMs = 0;
  private nextSequence = 0;
  private nextRoundRobinIndex = 0;
  private rateFactor = 1;

  /** @param seed Seeds the random arrivals, objects and refusals. */
  constructor(scenario: scenarios.Scenario, policy: Policy, seed: number) {
    this.scenario = scenario;
    this.policy = policy;
    this.randomGenerator = pureRand.xoroshiro128plus(seed);
    this.workRandomGenerator = pureRand.xoroshiro128plus(seed + 1);
    this.records = createUpstreamRecords(scenario);
    const {speed} = scenario.traits;
    for (const [index, record] of this.records.entries())
      this.upstreamModels.set(
        record.upstreamId,
        new models.UpstreamModel(
          scenario.traits,
          (atMs, action) => this.schedule(atMs, action),
          speed && new speeds.MachineSpeed(speed, seed + 2 + index),
        ),
      );
    this.vms = scenario.regions.flatMap(({region, vmCount}) =>
      Array.from({length: vmCount ?? scenario.vmsPerRegion}, () =>
        this.createVm(region),
      ),
    );
  }

  /** Runs the simulation; returns the outcome counts of each second. */
  run(): readonly SecondCounts[] {
    for (const event of this.scenario.events)
      this.schedule(event.atMs, () => this.applyEvent(event));
    for (const region of this.scenario.regions) this.scheduleArrival(region, 0);
    this.scheduleEvery(BALANCE_INTERVAL_MS, () => this.updateBalances());
    this.scheduleEvery(STATUS_EXCHANGE_INTERVAL_MS, () =>
      this.exchangeStatuses(),
    );
    for (;;) {
      const event = this.eventQueue.peek();
      if (event === undefined) break;
      this.eventQueue.remove();
      this.nowMs = event.atMs;
      event.action();
    }
    return this.seconds;
  }

  /** Gets the counts per second of the requests that are bound to one region, after run(). */
  getBoundSeconds(): readonly SecondCounts[] {
    return this.boundSeconds;
  }

  /** Gets the ratio of the number of requests that the busiest upstream started to the mean, after run(). */
  getBusiestRatio(): number {
    const counts = [...this.upstreamModels.values()].map(
      model => model.counts.started,
    );
    const total = counts.reduce((sum, count) => sum + count, 0);
    return (Math.max(...counts) * counts.length) / Math.max(1, total);
  }

  /** Gets the fraction of the started requests whose object was warm, after run(). */
  getWarmFraction(): number {
    const counts = [...this.upstreamModels.values()].map(model => model.counts);
    const started = counts.reduce((sum, count) => sum + count.started, 0);
    const warm = counts.reduce((sum, count) => sum + count.startedWarm, 0);
    return warm / Math.max(1, started);
  }

  private createVm(
    region: string,
    storedShares: readonly entry.StoredShares[] = [],
  ): EmulatedVm {
    const isDesignated =
      this.policy === 'designated' || this.policy === 'designatedPassedOn';
    const register = new registers.UpstreamRegistry(
      new headers.HeaderCodec(),
      undefined,
      {kind: isDesignated ? 'designated' : 'first'},
    );
    register.setRecords(this.records, this.nowMs);
    const {regions, vmsPerRegion} = this.scenario;
    const vmCount = regions.find(other => other.region === region)?.vmCount;
    register.setRegionPeerCount((vmCount ?? vmsPerRegion) - 1);
    const balance = new balances.RegionBalancer(region, register);
    balance.setStoredShares(storedShares);
    balance.update([SERVICE_ID], [], this.nowMs);
    return {region, register, balance, reportedAtMs: new Map()};
  }

  private applyEvent(event: scenarios.ScenarioEvent): void {
    switch (event.kind) {
      case 'evacuate':
        for (const {register} of this.vms)
          register.setEvacuatedDomains([`${event.region}-a`]);
        return;
      case 'restore':
        for (const {register} of this.vms) register.setEvacuatedDomains([]);
        return;
      case 'refuse':
        for (const model of this.upstreamModels.values())
          model.refusedFraction = event.fraction;
        return;
      case 'restart':
        this.vms = this.vms.map(({region, register}) =>
          this.createVm(
            region,
            event.areSharesStored ? getStoredShares(register) : [],
          ),
        );
        this.memberStatuses = [];
        return;
      case 'rate':
        this.rateFactor = event.factor;
        return;
      default:
        errors.throwUnreachable(event);
    }
  }

  private updateBalances(): void {
    for (const {balance} of this.vms)
      balance.update([SERVICE_ID], this.memberStatuses, this.nowMs);
  }

  private exchangeStatuses(): void {
    this.passOnReports();
    this.memberStatuses = this.vms.map(({region, balance}, index) =>
      records.getMemberStatus(
        records.getMemberRecord(`vm-${index}`, {region}),
        {serviceDemands: balance.getOwnDemands()},
      ),
    );
  }

  /** Gives every VM the reports that any VM got since the last exchange, if they are newer than what it knows. */
  private passOnReports(): void {
    for (const {register, reportedAtMs} of this.vms)
      for (const {upstreamId, load, atMs} of this.passedReports) {
        if (atMs <= (reportedAtMs.get(upstreamId) ?? -Infinity)) continue;
        reportedAtMs.set(upstreamId, atMs);
        register.get(upstreamId)?.state.addAnswer(load, atMs);
      }
    this.passedReports = [];
  }

  private recordAnswer(
    vm: EmulatedVm,
    state: states.UpstreamState,
    load: codecs.UpstreamLoad,
    startedAtMs: number,
  ): void {
    vm.register.addDuration(state, this.nowMs - startedAtMs);
    state.addAnswer(load, this.nowMs);
    const {upstreamId} = state;
    vm.reportedAtMs.set(upstreamId, this.nowMs);
    if (this.policy === 'passedOn' || this.policy === 'designatedPassedOn')
      this.passedReports.push({upstreamId, load, atMs: this.nowMs});
  }

  /** Gets the factor by which the demand of a region differs from its mean now. */
  private getDemandFactor(region: string): number {
    const {hardLoad, regions} = this.scenario;
    if (hardLoad === undefined) return 1;
    const index = regions.findIndex(other => other.region === region);
    const phase = this.nowMs / hardLoad.demandPeriodMs + index / regions.length;
    return 1 + hardLoad.demandVariation * Math.sin(2 * Math.PI * phase);
  }

  private drawWorkMs(): number {
    const {hardLoad, coldWorkMs} = this.scenario;
    if (hardLoad === undefined) return coldWorkMs;
    const {workVariation, heavyFraction, heavyWorkRatio} = hardLoad;
    const ratio = this.getWorkRandom() < heavyFraction ? heavyWorkRatio : 1;
    const variation = 1 + workVariation * (2 * this.getWorkRandom() - 1);
    return coldWorkMs * ratio * variation;
  }

  private scheduleArrival(
    region: scenarios.ScenarioRegion,
    previousArrivalAtMs: number,
  ): void {
    const gapMs =
      (-Math.log(1 - this.getRandom()) * MS_PER_SECOND) /
      (region.ratePerSecond *
        this.rateFactor *
        this.getDemandFactor(region.region));
    const atMs = previousArrivalAtMs + gapMs;
    if (atMs >= this.scenario.durationMs) return;
    this.schedule(atMs, () => {
      this.handleArrival(region.region);
      this.scheduleArrival(region, atMs);
    });
  }

  private handleArrival(region: string): void {
    const objectIndex = Math.floor(
      this.getRandom() * this.scenario.objectsPerRegion,
    );
    const objectName =
      this.scenario.hardLoad === undefined
        ? `/${region}/${objectIndex}`
        : `/${objectIndex}`;
    const regionVms = this.vms.filter(vm => vm.region === region);
    const vm = regionVms[Math.floor(this.getRandom() * regionVms.length)];
    const startedAtMs = this.nowMs;
    const {bound} = this.scenario;
    const homeRegion =
      bound !== undefined && this.getRandom() < bound.fraction
        ? bound.region
        : undefined;
    const count = (outcome: Outcome) => {
      addOutcome(this.seconds, startedAtMs, outcome);
      if (homeRegion !== undefined)
        addOutcome(this.boundSeconds, startedAtMs, outcome);
    };
    const upstreamId = this.chooseUpstreamId(vm, objectName, homeRegion);
    const upstream =
      upstreamId === undefined ? undefined : vm.register.get(upstreamId);
    const model =
      upstreamId === undefined
        ? undefined
        : this.upstreamModels.get(upstreamId);
    if (upstream === undefined || model === undefined) {
      count('refused');
      return;
    }
    const {state} = upstream;
    const oneWayMs =
      state.record.region === region
        ? SAME_REGION_ONE_WAY_MS
        : OTHER_REGION_ONE_WAY_MS;
    const sendId = state.addSend(startedAtMs);
    vm.balance.addInFlight(SERVICE_ID, homeRegion, 1, startedAtMs);
    const handleEnd = (result: 'done' | 'refused' | 'timedOut') =>
      this.schedule(this.nowMs + oneWayMs, () => {
        vm.balance.addInFlight(SERVICE_ID, homeRegion, -1, this.nowMs);
        const load = getLoad(model, state.record.slotCount, this.nowMs);
        if (result === 'refused') state.addShed(load, this.nowMs);
        if (this.policy === 'corrected') state.endSend(sendId);
        if (result === 'done') {
          this.recordAnswer(vm, state, load, startedAtMs);
          state.addWarmObject(objectName);
        }
        state.endSend(sendId);
        count(this.getOutcome(result, startedAtMs));
      });
    this.schedule(startedAtMs + oneWayMs, () =>
      model.accept(
        {
          objectName,
          coldWorkMs: this.drawWorkMs(),
          deadlineMs: startedAtMs + this.scenario.timeLimitMs - oneWayMs,
          onEnd: handleEnd,
        },
        this.getRandom(),
        this.nowMs,
      ),
    );
  }

  private chooseUpstreamId(
    vm: EmulatedVm,
    objectName: string,
    homeRegion: string | undefined,
  ): string | undefined {
    const rankQuery = {
      serviceId: SERVICE_ID,
      objectName,
      homeRegions: homeRegion === undefined ? undefined : [homeRegion],
      random: 0,
    };
    switch (this.policy) {
      case 'placed':
      case 'corrected':
      case 'passedOn':
      case 'slotShare':
      case 'designated':
      case 'designatedPassedOn':
        return this.chooseByPlacement(
          vm,
          vm.register.rank(rankQuery),
          objectName,
        );
      case 'twoChoices':
        return this.chooseLessLoaded(vm, vm.register.rank(rankQuery)[0]);
      case 'bounded':
        return this.chooseBounded(vm, vm.register.rank(rankQuery), objectName);
      case 'firstOnly':
        return vm.register.rank(rankQuery)[0];
      case 'random':
        return this.pickUsable(vm, Math.floor(this.getRandom() * RANDOM_RANGE));
      case 'roundRobin':
        return this.pickUsable(vm, this.nextRoundRobinIndex++);
      default:
        return errors.throwUnreachable(this.policy);
    }
  }

  private chooseByPlacement(
    vm: EmulatedVm,
    ranked: readonly string[],
    objectName: string,
  ): string | undefined {
    const views = vm.register.getViews(ranked, objectName, 0, this.nowMs);
    const placement = decisions.choosePlacement(this.changeViews(vm, views));
    return placement.kind === 'chosen' ? placement.upstreamId : undefined;
  }

  private changeViews(
    vm: EmulatedVm,
    views: readonly decisions.PlacementCandidate[],
  ): readonly decisions.PlacementCandidate[] {
    switch (this.policy) {
      case 'slotShare':
        return views.map(view => ({
          ...view,
          isAvailable:
            view.isAvailable && !this.hasUsedShare(vm, view.upstreamId),
        }));
      default:
        return views;
    }
  }

  /** Whether a VM has as many requests at an upstream as its share of the slots that others leave free. */
  private hasUsedShare(vm: EmulatedVm, upstreamId: string): boolean {
    const state = vm.register.get(upstreamId)?.state;
    if (state === undefined) return false;
    const ownCount = state.ownInFlightCount;
    const otherCount = state.getBusyCount(this.nowMs) - ownCount;
    const freeCount = state.record.slotCount - otherCount;
    const vmCount = this.vms.filter(({region}) => region === vm.region).length;
    return ownCount >= Math.max(1, Math.ceil(freeCount / vmCount));
  }

  private chooseLessLoaded(
    vm: EmulatedVm,
    regionalId: string,
  ): string | undefined {
    const region = vm.register.get(regionalId)?.state.record.region;
    const regional = this.records.filter(record => record.region === region);
    const drawn = [0, 1].map(
      () => regional[Math.floor(this.getWorkRandom() * regional.length)],
    );
    const [first, second] = drawn.map(({upstreamId, slotCount}) => ({
      upstreamId,
      load:
        (vm.register.get(upstreamId)?.state.getBusyCount(this.nowMs) ?? 0) /
        slotCount,
    }));
    return first.load <= second.load ? first.upstreamId : second.upstreamId;
  }

  private chooseBounded(
    vm: EmulatedVm,
    ranked: readonly string[],
    objectName: string,
  ): string | undefined {
    const region = vm.register.get(ranked[0])?.state.record.region;
    if (region === undefined) return undefined;
    if (this.boundedFirstIds.size === 0) this.assignBounded();
    const firstId = this.boundedFirstIds.get(`${region}${objectName}`);
    if (firstId === undefined) return undefined;
    const others = ranked.filter(upstreamId => upstreamId !== firstId);
    return this.chooseByPlacement(vm, [firstId, ...others], objectName);
  }

  private assignBounded(): void {
    const {regions, objectsPerRegion} = this.scenario;
    for (const {region, upstreamCount} of regions) {
      const upstreams = this.records
        .filter(record => record.region === region)
        .map(({upstreamId}) => ({
          upstreamId,
          hash: decisions.getHash(upstreamId),
          weight: 1,
        }));
      const maxCount = Math.ceil(
        (BOUNDED_OBJECTS_RATIO * objectsPerRegion) / upstreamCount,
      );
      const counts = new Map<string, number>();
      for (let index = 0; index < objectsPerRegion; index++) {
        const hash = decisions.getHash(`/${index}`);
        const chosenId = decisions
          .rankUpstreams(upstreams, hash, upstreamCount)
          .find(upstreamId => (counts.get(upstreamId) ?? 0) < maxCount);
        if (chosenId === undefined) continue;
        counts.set(chosenId, (counts.get(chosenId) ?? 0) + 1);
        this.boundedFirstIds.set(`${region}/${index}`, chosenId);
      }
    }
  }

  /** Picks one of all usable upstreams by index, independently of the requested object. */
  private pickUsable(vm: EmulatedVm, index: number): string | undefined {
    const usableIds = vm.register.rank({
      serviceId: SERVICE_ID,
      objectName: `turn ${index}`,
      homeRegions: undefined,
      random: 0,
    });
    return usableIds[index % Math.max(1, usableIds.length)];
  }

  private getOutcome(
    result: 'done' | 'refused' | 'timedOut',
    startedAtMs: number,
  ): Outcome {
    switch (result) {
      case 'done':
        return this.nowMs - startedAtMs <= this.scenario.objectiveMs
          ? 'inTime'
          : 'late';
      case 'refused':
        return 'refused';
      case 'timedOut':
        return 'failed';
    }
  }

  private scheduleEvery(intervalMs: number, action: () => void): void {
    for (let atMs = 0; atMs < this.scenario.durationMs; atMs += intervalMs)
      this.schedule(atMs, action);
  }

  private schedule(atMs: number, action: () => void): void {
    this.eventQueue.add({atMs, sequence: this.nextSequence++, action});
  }

  private getRandom(): number {
    return drawFraction(this.randomGenerator);
  }

  /** Draws from a generator of its own, so that arrivals and objects are the same for all policies. */
  private getWorkRandom(): number {
    return drawFraction(this.workRandomGenerator);
  }
}

function drawFraction(generator: pureRand.RandomGenerator): number {
  const value = pureRand.unsafeUniformIntDistribution(
    0,
    RANDOM_RANGE - 1,
    generator,
  );
  return value / RANDOM_RANGE;
}

function getStoredShares(
  register: registers.UpstreamRegistry,
): readonly entry.StoredShares[] {
  const shares = register.getShares(SERVICE_ID);
  const capacities = register.getCapacities(SERVICE_ID);
  return shares === undefined
    ? []
    : [{serviceId: SERVICE_ID, shares, capacities}];
}

function getLoad(
  model: models.UpstreamModel,
  slotCount: number,
  nowMs: number,
): codecs.UpstreamLoad {
  const {busyCount} = model;
  const slowdown = model.getSlowdown(nowMs);
  return slowdown === undefined
    ? {busyCount, slotCount}
    : {busyCount, slotCount, slowdown};
}

const ZERO_COUNTS: SecondCounts = {
  requestCount: 0,
  inTimeCount: 0,
  lateCount: 0,
  refusedCount: 0,
  failedCount: 0,
};

function addOutcome(
  seconds: SecondCounts[],
  startedAtMs: number,
  outcome: Outcome,
): void {
  const secondIndex = Math.floor(startedAtMs / MS_PER_SECOND);
  const previous = seconds[secondIndex] ?? ZERO_COUNTS;
  seconds[secondIndex] = {
    requestCount: previous.requestCount + 1,
    inTimeCount: previous.inTimeCount + (outcome === 'inTime' ? 1 : 0),
    lateCount: previous.lateCount + (outcome === 'late' ? 1 : 0),
    refusedCount: previous.refusedCount + (outcome === 'refused' ? 1 : 0),
    failedCount: previous.failedCount + (outcome === 'failed' ? 1 : 0),
  };
}

/** Sums the counts of several seconds. */
export function sumSeconds(seconds: readonly SecondCounts[]): SecondCounts {
  return seconds.reduce(
    (sum, second) => ({
      requestCount: sum.requestCount + second.requestCount,
      inTimeCount: sum.inTimeCount + second.inTimeCount,
      lateCount: sum.lateCount + second.lateCount,
      refusedCount: sum.refusedCount + second.refusedCount,
      failedCount: sum.failedCount + second.failedCount,
    }),
    ZERO_COUNTS,
  );
}

function createUpstreamRecords(
  scenario: scenarios.Scenario,
): readonly entry.UpstreamRecord[] {
  return scenario.regions.flatMap(({region, upstreamCount}) =>
    Array.from({length: upstreamCount}, (_, index) =>
      records.getUpstreamRecord(`i-${region}-${index}`, {
        serviceId: SERVICE_ID,
        region,
        failureDomain: `${region}-${index % 2 === 0 ? 'a' : 'b'}`,
        slotCount: scenario.traits.slotCount,
      }),
    ),
  );
}
