import * as pureRand from 'pure-rand';
import * as headers from '../../platform/HeaderCodec.js';
import * as decisions from '../../src/decisions/index.js';
import type * as entry from '../../src/model/entry/index.js';
import * as errors from '../../src/model/errors/index.js';
import * as balances from '../../src/services/dispatch/RegionBalancer.js';
import * as registers from '../../src/services/dispatch/UpstreamRegistry.js';
import * as records from '../../test/support/records/index.js';
import * as queues from '../../test/support/virtual/EventQueue.js';
import type * as scenarios from './Scenario.js';
import * as models from './UpstreamModel.js';

/**
 * How VMs choose upstreams: by the daemon's placement decision (`placed`), or for comparison at random, in turn, or
 * always the first of the ranking.
 */
export type Policy = 'placed' | 'random' | 'roundRobin' | 'firstOnly';

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
}

const SERVICE_ID = 'service';
const BALANCE_INTERVAL_MS = 250;
const STATUS_EXCHANGE_INTERVAL_MS = 1000;

/** One-way network delays between a VM and an upstream. */
const SAME_REGION_ONE_WAY_MS = 1;
const OTHER_REGION_ONE_WAY_MS = 35;

const MS_PER_SECOND = 1000;
const RANDOM_RANGE = 2 ** 30;

/** Simulates a load pattern on several VMs in virtual time, with the placement decisions of the daemon. */
export class Emulation {
  private readonly scenario: scenarios.Scenario;
  private readonly policy: Policy;
  private readonly randomGenerator: pureRand.RandomGenerator;
  private readonly eventQueue = new queues.EventQueue();
  private readonly upstreamModels = new Map<string, models.UpstreamModel>();
  private readonly records: readonly entry.UpstreamRecord[];
  private readonly vms: readonly EmulatedVm[];
  private readonly seconds: SecondCounts[] = [];
  private readonly boundSeconds: SecondCounts[] = [];
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
    this.records = createUpstreamRecords(scenario);
    for (const record of this.records)
      this.upstreamModels.set(
        record.upstreamId,
        new models.UpstreamModel(scenario.traits, (atMs, action) =>
          this.schedule(atMs, action),
        ),
      );
    this.vms = scenario.regions.flatMap(({region}) =>
      Array.from({length: scenario.vmsPerRegion}, () => this.createVm(region)),
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

  private createVm(region: string): EmulatedVm {
    const register = new registers.UpstreamRegistry(new headers.HeaderCodec());
    register.setRecords(this.records, this.nowMs);
    const balance = new balances.RegionBalancer(region, register);
    balance.update([SERVICE_ID], [], 0);
    return {region, register, balance};
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
    this.memberStatuses = this.vms.map(({region, balance}, index) =>
      records.getMemberStatus(
        records.getMemberRecord(`vm-${index}`, {region}),
        {serviceDemands: balance.getOwnDemands()},
      ),
    );
  }

  private scheduleArrival(
    region: scenarios.ScenarioRegion,
    previousArrivalAtMs: number,
  ): void {
    const gapMs =
      (-Math.log(1 - this.getRandom()) * MS_PER_SECOND) /
      (region.ratePerSecond * this.rateFactor);
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
    const objectName = `/${region}/${objectIndex}`;
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
        const load = {
          busyCount: model.busyCount,
          slotCount: state.record.slotCount,
        };
        if (result === 'refused') state.addShed(load, this.nowMs);
        if (result === 'done') {
          state.addAnswer(load, this.nowMs);
          state.addWarmObject(objectName);
        }
        state.endSend(sendId);
        count(this.getOutcome(result, startedAtMs));
      });
    this.schedule(startedAtMs + oneWayMs, () =>
      model.accept(
        {
          objectName,
          coldWorkMs: this.scenario.coldWorkMs,
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
        return this.chooseByPlacement(
          vm,
          vm.register.rank(rankQuery),
          objectName,
        );
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
    const placement = decisions.choosePlacement(views);
    return placement.kind === 'chosen' ? placement.upstreamId : undefined;
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
    const value = pureRand.unsafeUniformIntDistribution(
      0,
      RANDOM_RANGE - 1,
      this.randomGenerator,
    );
    return value / RANDOM_RANGE;
  }
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
